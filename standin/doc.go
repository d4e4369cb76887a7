// Package standin simulates the systems outside the gateway for tests and the demo: model engines,
// plain services, the platform and the network between regions. The serving path never imports it.
package standin
