package settings

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Planner holds the settings of an entry that competes for the planner's leases.
type Planner struct {
	// Interval is the time between two readings of the ranks' loads. A plan is
	// made at every fifth reading.
	Interval time.Duration
	// LeaseTTL is the time after which the planner's lease expires unless it is
	// renewed.
	LeaseTTL time.Duration
	// ExpertBytes is the size of one expert's weights in bytes, StoreRate the
	// weight store's throughput in bytes per second.
	ExpertBytes int64
	StoreRate   int64
}

// Declare adds the planner's flags to a command.
func (p *Planner) Declare(cmd *kingpin.CmdClause) {
	flag(cmd, "plan-interval", "Time between two readings of the ranks' loads; a plan is made at every fifth.").Default("10s").DurationVar(&p.Interval)
	flag(cmd, "planner-lease", "Time after which the planner's lease expires without renewal.").Default("30s").DurationVar(&p.LeaseTTL)
	flag(cmd, "expert-bytes", "Size of one expert's weights, in bytes.").Default("50331648").Int64Var(&p.ExpertBytes)
	flag(cmd, "weight-store-rate", "Throughput of the weight store, in bytes per second.").Default("1073741824").Int64Var(&p.StoreRate)
}

func (c *checker) planner(p *Planner) {
	c.require(p.Interval > 0, "plan-interval", p.Interval.String(), "give a positive duration such as 10s")
	c.require(p.LeaseTTL >= 3*time.Second, "planner-lease", p.LeaseTTL.String(), "give at least 3s")
	c.require(p.ExpertBytes > 0, "expert-bytes", strconv.FormatInt(p.ExpertBytes, 10), "give the size in bytes")
	c.require(p.StoreRate > 0, "weight-store-rate", strconv.FormatInt(p.StoreRate, 10), "give the throughput in bytes per second")
}
