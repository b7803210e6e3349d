// Package routing holds the operators' configuration of a platform deployment in
// the form that gateways and group leaders use: which route a request takes, what
// the route allows, which client account a key belongs to, and the shape of a
// service's expert maps. The package does no I/O.
package routing

import "time"

// Kind states whether a route's requests may run more than once.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a series of numbered events. They run at
	// most once unless the route is resumable.
	Stream Kind = "stream"
)

// Route sends the requests of one host below a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout limits the duration of a request; 0 means that the route sets no
	// limit.
	Timeout time.Duration
	// TargetLatency is the target time to the answer, or to a stream's first
	// event. TargetGap is the target for the longest pause between two events.
	TargetLatency, TargetGap time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// Split lists the services that share the route's requests by weight.
	Split []WeightedService
	// MaxAttempts is the maximum number of upstreams that one request is sent
	// to, at least 1.
	MaxAttempts int
	// Anonymous routes accept requests without a valid key.
	Anonymous bool
	// Resumable streams may continue at another upstream after the last event
	// that the caller has.
	Resumable bool
}

// WeightedService is a service with its weight in a route's split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one upstream from
	// all entries together; 0 means no limit.
	MaxConnections int
	// HealthPath is the path of the upstreams' health check, empty if it isn't known.
	HealthPath string
	// Warmup is how long an upstream stays cold after its start, 0 if it starts at full
	// speed. A cold upstream bears WarmupRate requests a second from all entries together.
	Warmup     time.Duration
	WarmupRate float64
	// Engine is nil for a plain service, whose upstreams don't batch requests.
	Engine *Engine
}

// Engine describes how the engines of a service batch requests.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// StepTime is the base duration of a token step; each running request adds
	// StepTimePerSequence to it.
	StepTime, StepTimePerSequence time.Duration
	// ReportLag is the age of the state that an engine reports to other VMs; 0 if it isn't
	// known.
	ReportLag time.Duration
	// StepsPerPart is the number of token steps between two parts of an answer, 0 if it
	// isn't known.
	StepsPerPart int
	// ReadRate is the number of prompt tokens that an engine reads in a second, and
	// ReadChunk the most that it reads in one token step; 0 if they aren't known.
	ReadRate  float64
	ReadChunk int
	// FormTime is how long a group takes to open once all of its ranks are there.
	FormTime time.Duration
	// MeanPrompt and MeanAnswer are the mean numbers of tokens of a request's prompt and
	// answer, 0 if they aren't known.
	MeanPrompt, MeanAnswer float64
	// Experts is the shape of the expert maps. The zero value means that the
	// service has none.
	Experts ExpertShape
}

// ExpertShape gives the dimensions of the expert maps of a service's rank
// groups.
type ExpertShape struct {
	// Sets is the number of layer sets and Experts the number of experts in
	// each. SlotsPerRank is the number of experts that a rank can hold per set.
	// MaxNewExperts is the number of new experts that a prepared map may add to
	// a rank per set.
	Sets, Experts, SlotsPerRank, MaxNewExperts int
	// ExpertTimeShare is the fraction of the work of a token step that is done
	// by experts.
	ExpertTimeShare float64
	// CopyTime is how long a rank takes to copy one expert.
	CopyTime time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits restrict the size of a caller's request and the time that its
// connection may take.
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
	// Encoded is the configuration as it was read, so that it can be passed on
	// unchanged.
	Encoded []byte
}
