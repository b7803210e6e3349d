package daemon

import (
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// connections counts the open connections of a server by their state.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// trackConnections returns the connections that the server accepts from now on.
func trackConnections(s *http.Server) *connections {
	c := &connections{states: map[net.Conn]http.ConnState{}}
	s.ConnState = c.update
	return c
}

// update implements http.Server.ConnState.
func (c *connections) update(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, nc)
		return
	}
	c.states[nc] = state
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// active returns the number of connections with a request.
func (c *connections) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, state := range c.states {
		if state == http.StateActive {
			count++
		}
	}
	return count
}

// fields describes the open connections by state.
func (c *connections) fields() []zap.Field {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[http.ConnState]int{}
	for _, state := range c.states {
		counts[state]++
	}
	return []zap.Field{
		zap.Int("connections_new", counts[http.StateNew]), zap.Int("connections_active", counts[http.StateActive]), zap.Int("connections_idle", counts[http.StateIdle]),
	}
}
