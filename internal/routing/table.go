package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Table is a configuration with lookup indexes. It is immutable.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	byName   map[string]*Route
	services map[string]*Service
	accounts map[string]*Account
	// Since is the time when the table came into force in this process.
	Since time.Time
}

// NewTable builds the table of a configuration that comes into force now.
func NewTable(c Configuration, now time.Time) *Table {
	t := &Table{
		Configuration: c,
		byHost:        map[string][]*Route{},
		byName:        map[string]*Route{},
		services:      map[string]*Service{},
		accounts:      map[string]*Account{},
		Since:         now,
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.byName[r.Name] = r
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Accounts {
		for _, key := range t.Accounts[i].Keys {
			t.accounts[key] = &t.Accounts[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The path is compared as the caller sent it, without its query and
// without decoding. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns the route with the given name, or nil.
func (t *Table) Route(name string) *Route { return t.byName[name] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// PickService chooses a service of the route by weight. draw is a random
// number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.Split {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Store holds the table in force. It never returns to an earlier version. The
// zero value holds no table. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Table]

	mu        sync.Mutex // serialises Apply; held while listeners run
	listeners []func(*Table)
}

// Current returns the table in force, or nil if no configuration is known yet.
func (s *Store) Current() *Table { return s.current.Load() }

// Apply puts a configuration in force and calls the registered functions. It
// returns false if the configuration is not newer than the one in force.
func (s *Store) Apply(c Configuration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	t := NewTable(c, now)
	s.current.Store(t)
	for _, f := range s.listeners {
		f(t)
	}
	return true
}

// OnChange registers a function that is called with each new table. It must not
// call Apply.
func (s *Store) OnChange(f func(*Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}
