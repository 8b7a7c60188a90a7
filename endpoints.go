// The endpoint list: complete lists and changes of it, applied to the servers that are known.

package balancer

// isReady says that a server is listed and may be sent requests.
func (s *server) isReady() bool { return s.listed && s.State == Ready }

// changeServers applies the changed entries of the endpoint list, one by one.
func (b *Balancer) changeServers(entries []Endpoint) {
	for _, entry := range entries {
		b.changeServer(entry)
	}
	for _, entry := range entries { // at the end, as a server may be named twice
		if s := b.servers[entry.ID]; s != nil {
			b.forgetServer(s)
		}
	}
}

// changeServer applies a changed entry, and moves its server in the set of ready ones where it has to.
func (b *Balancer) changeServer(entry Endpoint) {
	s := b.servers[entry.ID]
	wasReady := s != nil && s.isReady()
	stays := wasReady && s.State == entry.State && s.Zone == entry.Zone && s.StartedAt == entry.StartedAt
	if wasReady && !stays {
		b.ready.remove(s)
	}
	s = b.update(entry)
	if s.isReady() && !stays {
		b.ready.insert(s)
	}
}

// replaceServers applies a complete endpoint list: a server that it does not name is gone.
func (b *Balancer) replaceServers(entries []Endpoint) {
	for _, s := range b.servers {
		s.listed = false
	}
	for _, entry := range entries {
		b.update(entry)
	}
	ready := make([]*server, 0, len(entries))
	for _, entry := range entries {
		if s := b.servers[entry.ID]; s.isReady() {
			ready = append(ready, s)
		}
	}
	b.ready.replace(ready)
	for _, s := range b.servers {
		b.forgetServer(s)
	}
}

// update takes over an entry of the endpoint list. A new boot time resets what is known of the server.
func (b *Balancer) update(entry Endpoint) *server {
	s := b.servers[entry.ID]
	if s == nil {
		s = &server{}
		b.servers[entry.ID] = s
	} else if s.StartedAt != entry.StartedAt {
		*s = server{calls: s.calls, open: s.open}
	}
	s.Endpoint = entry
	s.listed = entry.State != Removed
	return s
}

// forgetServer drops a server that has left the list once no call to it is out.
func (b *Balancer) forgetServer(s *server) {
	if !s.listed && s.calls == 0 {
		delete(b.servers, s.ID)
	}
}
