package upstream

// SetMaxConnections bounds the open connections for requests to all upstreams; zero means no limit. Connections that only check whether an
// upstream is reachable count, but are also opened at the bound: a reachable upstream would otherwise be taken for an unreachable one.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
}

func (p *Pool) maxConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxOpen
}

// Open returns the number of open connections to all upstreams, and of those that are being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// addressWithIdle returns the address with the most idle connections, empty if there are none.
func (p *Pool) addressWithIdle() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, found := 0, ""
	for address, h := range p.hosts {
		if len(h.idle) > most {
			most, found = len(h.idle), address
		}
	}
	return found
}
