package edge

import (
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// retainState drops the admission state of routes and services that a configuration does not have, which would take memory until the VM ends.
// Requests that began under an earlier configuration may create some of it again; the next configuration drops that.
func (e *Edge) retainState(c *route.Config) {
	routes := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Name] = true
	}
	services, rooms := make(map[string]bool, len(c.Services)), make(map[string]bool, len(c.Services)*replica.RankCount)
	for i := range c.Services {
		name := c.Services[i].Name
		services[name] = true
		for rank := range replica.RankCount {
			rooms[roomKey(name, rank)] = true
		}
	}
	e.lengths.Retain(routes)
	e.pressures.Retain(services)
	e.waiting.Retain(services)
	e.sentCosts.Retain(rooms)
}
