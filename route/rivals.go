package route

// rankedService identifies the routes of one service with one priority.
type rankedService struct {
	service  string
	priority int
}

// rivals describes the routes that compete for the upstreams of each service, for the decision which of them yield.
type rivals struct {
	mostUrgent map[string]int
	streaming  map[rankedService]*Route
}

func newRivals(c *Config) rivals {
	v := rivals{mostUrgent: map[string]int{}, streaming: map[rankedService]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, target := range r.Split {
			if p, ok := v.mostUrgent[target.Service]; !ok || r.Priority < p {
				v.mostUrgent[target.Service] = r.Priority
			}
			key := rankedService{target.Service, r.Priority}
			if r.Kind == Streaming && v.streaming[key] == nil {
				v.streaming[key] = r
			}
		}
	}
	return v
}

// MostUrgent returns the lowest priority number of the routes of a service, which is the most urgent one.
func (t *Table) MostUrgent(service string) int { return t.rivals.mostUrgent[service] }

// StreamingRoute returns a streaming route of a service with a priority, nil if there is none.
func (t *Table) StreamingRoute(service string, priority int) *Route {
	return t.rivals.streaming[rankedService{service, priority}]
}
