package settings

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Planner are the settings of an entry that stands for the planner's leases.
type Planner struct {
	// Interval is the time between two readings of the ranks' loads; a plan
	// is made every fifth.
	Interval time.Duration
	// LeaseTTL is how long the planner's lease lasts without renewal.
	LeaseTTL time.Duration
	// ExpertBytes is the size of one expert's weights, StoreRate the weight
	// store's rate in bytes a second.
	ExpertBytes int64
	StoreRate   int64
}

// Declare adds the planner's flags to a command.
func (p *Planner) Declare(cmd *kingpin.CmdClause) {
	flag(cmd, "plan-interval", "Time between two readings of the ranks' loads; a plan is made every fifth.").Default("10s").DurationVar(&p.Interval)
	flag(cmd, "planner-lease", "Time that the planner's lease lasts without renewal.").Default("30s").DurationVar(&p.LeaseTTL)
	flag(cmd, "expert-bytes", "Size of one expert's weights, in bytes.").Default("50331648").Int64Var(&p.ExpertBytes)
	flag(cmd, "weight-store-rate", "Rate of the weight store, bytes a second.").Default("1073741824").Int64Var(&p.StoreRate)
}

func (c *checker) planner(p *Planner) {
	c.require(p.Interval > 0, "plan-interval", p.Interval.String(), "give a positive duration such as 10s")
	c.require(p.LeaseTTL >= 3*time.Second, "planner-lease", p.LeaseTTL.String(), "give at least 3s")
	c.require(p.ExpertBytes > 0, "expert-bytes", strconv.FormatInt(p.ExpertBytes, 10), "give the size in bytes")
	c.require(p.StoreRate > 0, "weight-store-rate", strconv.FormatInt(p.StoreRate, 10), "give bytes a second")
}
