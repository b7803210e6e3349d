// Package config defines the typed model of the operators' configuration, its
// immutable snapshots and the store that keeps the newest snapshot in force.
// The packages v1 and v2 decode the records of each schema version. It belongs to
// the stand-alone deployment; on the platform package routing holds the operators'
// configuration.
package config

import (
	"regexp"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// Prefix is the prefix of the configuration's keys in the key-value service.
const Prefix = "config/"

// Kind is a kind of configuration object.
type Kind string

// The kinds of objects.
const (
	KindModelGroup    Kind = "model-group"
	KindUpstream      Kind = "upstream"
	KindClientAccount Kind = "client-account"
	KindPlainService  Kind = "plain-service"
	KindExpertPlan    Kind = "expert-plan"
	KindOperator      Kind = "operator"
	KindEvacuation    Kind = "evacuation"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindModelGroup, KindUpstream, KindClientAccount, KindPlainService, KindExpertPlan, KindOperator, KindEvacuation}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Path returns the object's key in the key-value service. It is the same for
// all schema versions.
func (k Key) Path() string { return Prefix + string(k.Kind) + "/" + k.Name }

// Object is an object of the typed model.
type Object interface {
	Key() Key
	// Validate returns an error for the first invalid field, with a remedy.
	Validate() error
}

// ModelGroup is a group of ranks that serve a model in lock-step.
type ModelGroup struct {
	Name  string `json:"-"`
	Model string `json:"model"`
	// Ranks is the number of ranks, Experts the number of experts per layer.
	Ranks   int `json:"ranks"`
	Experts int `json:"experts,omitempty"`
	// SlotsPerRank is the number of experts that a rank can hold.
	SlotsPerRank int `json:"slotsPerRank,omitempty"`
}

// Upstream is a model rank or a replica of a plain service.
type Upstream struct {
	Name string `json:"-"`
	// VM is the id in the VM list of the VM that the upstream runs on.
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	// Address is the IP:port of the agent's inner protocol.
	Address string `json:"address"`
	// Group and Rank are set for a model rank, Service for a plain service.
	Group   string `json:"group,omitempty"`
	Rank    int    `json:"rank,omitempty"`
	Service string `json:"service,omitempty"`
	// ChecksFencing means that the engine itself rejects old fencing numbers.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Drain means that the upstream gets no new work; work in flight completes.
	Drain bool `json:"drain,omitempty"`
}

// SameEndpoint reports whether a connection to u can also be used for v: all
// their fields except Drain are equal.
func (u *Upstream) SameEndpoint(v *Upstream) bool {
	a, b := *u, *v
	a.Drain, b.Drain = false, false
	return a == b
}

// ClientAccount is a caller with its priority and limits.
type ClientAccount struct {
	Name string `json:"-"`
	// TokenSHA256 holds the hex SHA-256 of each bearer token.
	TokenSHA256 []string `json:"tokenSHA256"`
	// Priority orders accounts under overload, from 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Share is the account's weight among accounts of the same priority; 0
	// means 1.
	Share int `json:"share,omitempty"`
	// MaxInFlight limits the account's requests in flight across all entries;
	// 0 means no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// PlainService is a service that is not served by model engines.
type PlainService struct {
	Name string `json:"-"`
	// NonIdempotent lists the calls that must not run twice.
	NonIdempotent []CallPattern `json:"nonIdempotent,omitempty"`
}

// CallPattern matches calls by method and path prefix.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// ExpertPlan configures how the experts of a model group may be moved.
type ExpertPlan struct {
	// Name is the model group's name.
	Name string `json:"-"`
	// Preset is teranga or tocka; empty means no moves.
	Preset string `json:"preset,omitempty"`
	// SkewWeight overrides the preset's weight of load skew against the cost of
	// moves, 0 to 1; 0 means the preset's weight.
	SkewWeight float64 `json:"skewWeight,omitempty"`
	// BudgetBytes limits the traffic of expert weights per planning window; 0
	// means the preset's limit.
	BudgetBytes int64 `json:"budgetBytes,omitempty"`
	// QuietWindows are times of day in which no expert is moved.
	QuietWindows []QuietWindow `json:"quietWindows,omitempty"`
	// Stopped ends a move in progress and prevents new ones.
	Stopped bool `json:"stopped,omitempty"`
	// Pinned lists the ranks that hold each expert; empty means that the
	// planner chooses them.
	Pinned [][]int `json:"pinned,omitempty"`
}

// QuietWindow is a span of time of day, in UTC, as HH:MM. It spans midnight if
// From is after To.
type QuietWindow struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Operator is a user of the operator interface.
type Operator struct {
	Name        string   `json:"-"`
	TokenSHA256 []string `json:"tokenSHA256"`
}

// Evacuation means that the upstreams of a data centre get no new work while the record is
// there; work in flight completes.
type Evacuation struct {
	// Name is the data centre's name.
	Name string `json:"-"`
}

// Key implements Object.
func (g *ModelGroup) Key() Key { return Key{KindModelGroup, g.Name} }

// Key implements Object.
func (u *Upstream) Key() Key { return Key{KindUpstream, u.Name} }

// Key implements Object.
func (a *ClientAccount) Key() Key { return Key{KindClientAccount, a.Name} }

// Key implements Object.
func (s *PlainService) Key() Key { return Key{KindPlainService, s.Name} }

// Key implements Object.
func (p *ExpertPlan) Key() Key { return Key{KindExpertPlan, p.Name} }

// Key implements Object.
func (o *Operator) Key() Key { return Key{KindOperator, o.Name} }

// Key implements Object.
func (e *Evacuation) Key() Key { return Key{KindEvacuation, e.Name} }

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	clockPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
)

// Limits of the model.
const (
	MaxPriority = 9
	MaxRanks    = 1024
	MaxExperts  = 4096
)

// fieldError returns an error for an invalid field of an object.
func fieldError(k Key, field, remedy string) error {
	return fault.New(fault.Invalid, remedy, "%s %q: field %s", k.Kind, k.Name, field)
}

func checkName(k Key) error {
	if namePattern.MatchString(k.Name) {
		return nil
	}
	return fieldError(k, "name", "use 1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit")
}

func checkHashes(k Key, hashes []string) error {
	if len(hashes) == 0 {
		return fieldError(k, "tokenSHA256", "give the hex SHA-256 of at least one bearer token")
	}
	for _, h := range hashes {
		if !hashPattern.MatchString(h) {
			return fieldError(k, "tokenSHA256", "give 64 lower-case hex digits for each token")
		}
	}
	return nil
}

// Validate implements Object.
func (g *ModelGroup) Validate() error {
	if err := checkName(g.Key()); err != nil {
		return err
	}
	if g.Model == "" {
		return fieldError(g.Key(), "model", "name the model that the group serves")
	}
	if g.Ranks < 1 || g.Ranks > MaxRanks {
		return fieldError(g.Key(), "ranks", "give 1 to 1024 ranks")
	}
	if g.Experts < 0 || g.Experts > MaxExperts {
		return fieldError(g.Key(), "experts", "give 0 to 4096 experts per layer")
	}
	if g.Experts > 0 && g.SlotsPerRank*g.Ranks < g.Experts {
		return fieldError(g.Key(), "slotsPerRank", "give enough slots that all ranks together can hold every expert")
	}
	return nil
}

// Validate implements Object.
func (u *Upstream) Validate() error {
	if err := checkName(u.Key()); err != nil {
		return err
	}
	if u.DataCentre == "" {
		return fieldError(u.Key(), "dataCentre", "name the data centre of the VM")
	}
	if !socket.ValidAddress(u.Address) {
		return fieldError(u.Key(), "address", "give the agent's address as IP:port")
	}
	if (u.Group == "") == (u.Service == "") {
		return fieldError(u.Key(), "group", "set exactly one of group and service")
	}
	if u.Rank < 0 || u.Rank >= MaxRanks {
		return fieldError(u.Key(), "rank", "give a rank number of 0 to 1023")
	}
	return nil
}

// Validate implements Object.
func (a *ClientAccount) Validate() error {
	if err := checkName(a.Key()); err != nil {
		return err
	}
	if a.Priority < 0 || a.Priority > MaxPriority {
		return fieldError(a.Key(), "priority", "give 0 (lowest) to 9")
	}
	if a.Share < 0 {
		return fieldError(a.Key(), "share", "give a positive weight, or 0 for 1")
	}
	if a.MaxInFlight < 0 {
		return fieldError(a.Key(), "maxInFlight", "give a positive limit, or 0 for none")
	}
	return checkHashes(a.Key(), a.TokenSHA256)
}

// Validate implements Object.
func (s *PlainService) Validate() error {
	if err := checkName(s.Key()); err != nil {
		return err
	}
	for _, c := range s.NonIdempotent {
		if c.Method == "" || c.PathPrefix == "" || c.PathPrefix[0] != '/' {
			return fieldError(s.Key(), "nonIdempotent", "give a method (or *) and a path prefix that starts with /")
		}
	}
	return nil
}

// Validate implements Object.
func (p *ExpertPlan) Validate() error {
	if err := checkName(p.Key()); err != nil {
		return err
	}
	switch p.Preset {
	case "", "teranga", "tocka":
	default:
		return fieldError(p.Key(), "preset", "use teranga or tocka, or leave it out for no moves")
	}
	if p.SkewWeight < 0 || p.SkewWeight > 1 {
		return fieldError(p.Key(), "skewWeight", "give a number from 0 to 1")
	}
	if p.BudgetBytes < 0 {
		return fieldError(p.Key(), "budgetBytes", "give a number of bytes per planning window, or 0 for the preset's limit")
	}
	for _, w := range p.QuietWindows {
		if !clockPattern.MatchString(w.From) || !clockPattern.MatchString(w.To) {
			return fieldError(p.Key(), "quietWindows", "give from and to as HH:MM, UTC")
		}
	}
	return nil
}

// Validate implements Object.
func (o *Operator) Validate() error {
	if err := checkName(o.Key()); err != nil {
		return err
	}
	return checkHashes(o.Key(), o.TokenSHA256)
}

// Validate implements Object.
func (e *Evacuation) Validate() error { return checkName(e.Key()) }
