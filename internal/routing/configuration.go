// Package routing holds the operators' configuration as entries use it: which
// route takes a request, what the route allows, and which client account a key
// belongs to. It is pure.
package routing

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a series of numbered events; they run at
	// most once unless the route is resumable.
	Stream Kind = "stream"
)

// Route sends the requests of one host below a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout bounds a request, 0 means no bound of the route's own.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or a stream's first event, is
	// on time; TargetGap the longest pause between events for which it is.
	TargetLatency, TargetGap time.Duration
	// Priority ranks the route, 0 first.
	Priority int
	// Split are the services with the weights by which they share requests.
	Split []WeightedService
	// MaxAttempts bounds the upstreams that one request is sent to, at least 1.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a kind of upstream.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all entries
	// together; 0 means no bound.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes how the engines of a service batch requests.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// StepTime is the time of a token step, StepTimePerSequence what each running request
	// adds to it.
	StepTime, StepTimePerSequence time.Duration
	// Experts is the shape of the expert maps; its zero value means none.
	Experts ExpertShape
}

// ExpertShape is the size of the expert maps of a service's rank groups.
type ExpertShape struct {
	// Sets is the number of sets of layers, Experts the experts in each,
	// Places how many experts a rank holds in a set, and Spare how many new
	// ones a prepared map may bring to a rank in a set.
	Sets, Experts, Places, Spare int
	// ExpertTimeShare is the part of the work for tokens that goes to experts.
	ExpertTimeShare float64
	// CopyTime is how long a rank takes to copy one expert.
	CopyTime time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// Encoded is the configuration as it was read, for passing it on.
	Encoded []byte
}
