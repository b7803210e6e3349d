// Package config holds the typed model of the operators' configuration, the
// immutable snapshots of it and the store that keeps the newest one in force.
// The record forms are decoded by the packages v1 and v2.
package config

import (
	"regexp"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Prefix is where the key-value service holds the configuration.
const Prefix = "config/"

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindModelGroup    Kind = "model-group"
	KindUpstream      Kind = "upstream"
	KindClientAccount Kind = "client-account"
	KindPlainService  Kind = "plain-service"
	KindExpertPlan    Kind = "expert-plan"
	KindOperator      Kind = "operator"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindModelGroup, KindUpstream, KindClientAccount, KindPlainService, KindExpertPlan, KindOperator}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Path returns the object's key in the key-value service, the same whichever
// form the record is written in.
func (k Key) Path() string { return Prefix + string(k.Kind) + "/" + k.Name }

// Object is one object of the typed model.
type Object interface {
	// Key identifies the object.
	Key() Key
	// Validate reports the first fault, naming the field and the remedy.
	Validate() error
}

// ModelGroup is a group of ranks that serves a model in lock-step.
type ModelGroup struct {
	Name  string `json:"-"`
	Model string `json:"model"`
	// Ranks is the number of ranks, Experts the number of experts a layer.
	Ranks   int `json:"ranks"`
	Experts int `json:"experts,omitempty"`
	// SlotsPerRank is how many experts a rank can hold.
	SlotsPerRank int `json:"slotsPerRank,omitempty"`
}

// Upstream is one model rank or one replica of a plain service.
type Upstream struct {
	Name string `json:"-"`
	// VM is the VM that it runs on, as the VM list names it.
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	// Address is the agent's inner address, host:port by IP.
	Address string `json:"address"`
	// Group and Rank are set for a model rank, Service for a plain service.
	Group   string `json:"group,omitempty"`
	Rank    int    `json:"rank,omitempty"`
	Service string `json:"service,omitempty"`
	// ChecksFencing says that the engine itself refuses old fencing numbers.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Drain says that it gets no new work; work in flight goes on.
	Drain bool `json:"drain,omitempty"`
}

// SameEndpoint says whether a connection to u serves v too: they differ at most
// in whether they drain.
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
	// Priority orders accounts under overload, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Share weighs accounts of one priority against each other; 0 means 1.
	Share int `json:"share,omitempty"`
	// MaxInFlight bounds the account's requests in flight over all entries;
	// 0 means no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// PlainService is a service beside the model engines.
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

// ExpertPlan says how the experts of a group may be moved.
type ExpertPlan struct {
	// Name is the model group's name.
	Name string `json:"-"`
	// Preset is teranga or tocka; empty means no moves.
	Preset string `json:"preset,omitempty"`
	// SkewWeight overrides the preset's weight of skew against moving cost,
	// 0 to 1; 0 means the preset's.
	SkewWeight float64 `json:"skewWeight,omitempty"`
	// BudgetBytes bounds the weight traffic a planning window, 0 means the
	// preset's.
	BudgetBytes int64 `json:"budgetBytes,omitempty"`
	// QuietWindows are times of day in which nothing moves.
	QuietWindows []QuietWindow `json:"quietWindows,omitempty"`
	// Stopped ends a move in progress and starts no other.
	Stopped bool `json:"stopped,omitempty"`
	// Pinned fixes the ranks that hold each expert; empty leaves it to the
	// planner.
	Pinned [][]int `json:"pinned,omitempty"`
}

// QuietWindow is a time of day, UTC, as HH:MM. From after To spans midnight.
type QuietWindow struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Operator is a person who may use the operator interface.
type Operator struct {
	Name        string   `json:"-"`
	TokenSHA256 []string `json:"tokenSHA256"`
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

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	clockPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
)

// Bounds of the model.
const (
	MaxPriority = 9
	MaxRanks    = 1024
	MaxExperts  = 4096
)

// fieldError names the object, the field and the remedy.
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
		return fieldError(g.Key(), "experts", "give 0 to 4096 experts a layer")
	}
	if g.Experts > 0 && g.SlotsPerRank*g.Ranks < g.Experts {
		return fieldError(g.Key(), "slotsPerRank", "give enough slots that ranks times slots hold every expert")
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
	if !validAddress(u.Address) {
		return fieldError(u.Key(), "address", "give the agent's address as IP:port")
	}
	if (u.Group == "") == (u.Service == "") {
		return fieldError(u.Key(), "group", "set exactly one of group and service")
	}
	if u.Rank < 0 {
		return fieldError(u.Key(), "rank", "count ranks from 0")
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
		return fieldError(a.Key(), "maxInFlight", "give a positive bound, or 0 for none")
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
		return fieldError(p.Key(), "skewWeight", "give 0 to 1")
	}
	if p.BudgetBytes < 0 {
		return fieldError(p.Key(), "budgetBytes", "give bytes a window, or 0 for the preset's")
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
