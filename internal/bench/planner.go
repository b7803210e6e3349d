package bench

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// policy names a planning policy.
type policy string

// The policies.
const (
	// policyNever keeps the initial map.
	policyNever policy = "never"
	// policyScratch places the experts from scratch at each plan and relabels the
	// ranks of the new map to match the current one.
	policyScratch policy = "scratch"
	// policyIncremental changes the map in force where the gain is worth the
	// cost.
	policyIncremental policy = "incremental"
	// policyFloor places the experts for each row with that row's own load, that
	// is with hindsight, as a reference for the other policies.
	policyFloor policy = "floor"
)

// PlannerExperiment runs a planning policy over a load.
type PlannerExperiment struct {
	// Trace is the path of a CSV file. If it is empty, Load and Seed generate
	// Rows rows of Experts experts.
	Trace, Load   string
	Seed          uint64
	Rows, Experts int
	Ranks, Slots  int
	// RowsPerPlan is the number of rows between two plans.
	RowsPerPlan   int
	Policy        string
	Preset, Split string
	// ExpertBytes is the size of an expert's weights, StoreRate the weight
	// store's rate in bytes per second, RowTime the time that a row covers.
	ExpertBytes int64
	StoreRate   int64
	RowTime     time.Duration
	// Quiet lists the quiet windows of a trace in rows, as FROM-TO,FROM-TO; TO is
	// excluded.
	Quiet string
	// OutputFile is the path of a file to write the load to; if it is set, no
	// policy is evaluated.
	OutputFile string
}

func declarePlanner(app *kingpin.Application, e env) (string, command) {
	p := &PlannerExperiment{}
	cmd := app.Command("planner", "Evaluate a planning policy on a load of experts.")
	p.declareLoadFlags(cmd)
	cmd.Flag("ranks", "Ranks of the group.").Default("64").IntVar(&p.Ranks)
	cmd.Flag("slots", "Slots per rank.").Default("6").IntVar(&p.Slots)
	cmd.Flag("every", "Rows between two plans.").Default("5").IntVar(&p.RowsPerPlan)
	cmd.Flag("policy", "Planning policy: never, scratch, incremental, or floor (each row placed with its own load).").
		Default(string(policyIncremental)).
		EnumVar(&p.Policy, string(policyNever), string(policyScratch), string(policyIncremental), string(policyFloor))
	cmd.Flag("preset", "Preset of the planner: teranga or tocka.").Default(planner.Teranga.Name).EnumVar(&p.Preset, planner.Teranga.Name, planner.Tocka.Name)
	cmd.Flag("split", "How replicas share an expert's tokens: weighted (by the map) or equal.").
		Default(string(planner.SplitWeighted)).
		EnumVar(&p.Split, string(planner.SplitWeighted), string(planner.SplitEqual))
	cmd.Flag("expert-bytes", "Size of an expert's weights, in bytes.").Default("50331648").Int64Var(&p.ExpertBytes)
	cmd.Flag("store-rate", "Rate of the weight store, in bytes per second.").Default("1073741824").Int64Var(&p.StoreRate)
	cmd.Flag("row-time", "Time that a row covers.").Default("10s").DurationVar(&p.RowTime)
	return cmd.FullCommand(), func(context.Context) error { return p.run(e) }
}

func (p *PlannerExperiment) declareLoadFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("trace", "CSV file of tokens routed: one row per step window, one column per expert.").StringVar(&p.Trace)
	cmd.Flag("load", "Generated load, used without a trace: drift, exam or season.").Default(string(LoadDrift)).StringVar(&p.Load)
	cmd.Flag("seed", "Seed of the generated load.").Default("1").Uint64Var(&p.Seed)
	cmd.Flag("rows", "Rows of the generated load.").Default("400").IntVar(&p.Rows)
	cmd.Flag("experts", "Experts of the generated load.").Default("256").IntVar(&p.Experts)
	cmd.Flag("quiet", "Quiet windows of a trace, in rows: FROM-TO, comma-separated, TO excluded.").StringVar(&p.Quiet)
	cmd.Flag("write-trace", "Write the load as CSV to this file and stop.").StringVar(&p.OutputFile)
}

// run evaluates the policy and prints the result, or writes the load to
// OutputFile.
func (p *PlannerExperiment) run(e env) error {
	trace, err := p.trace()
	if err != nil {
		return err
	}
	if p.OutputFile != "" {
		return p.writeTrace(trace)
	}
	result, err := p.Evaluate(trace)
	if err != nil {
		return err
	}
	return e.print(result)
}

func (p *PlannerExperiment) writeTrace(trace Trace) error {
	f, err := os.Create(p.OutputFile)
	if err != nil {
		return err
	}
	if err := WriteTrace(f, trace); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// trace returns the load from the trace file, or a generated one.
func (p *PlannerExperiment) trace() (Trace, error) {
	if p.Trace == "" {
		return p.generateTrace()
	}
	f, err := os.Open(p.Trace)
	if err != nil {
		return Trace{}, fault.Wrap(fault.Invalid, err, "name a readable CSV file", "opening the trace")
	}
	defer f.Close()
	trace, err := ReadTrace(f)
	if err != nil {
		return Trace{}, err
	}
	p.Load = p.Trace
	return trace, markQuiet(trace.Quiet, p.Quiet)
}

// generateTrace generates the load. Quiet windows around exam dates are kept for
// preset tocka only, since only its operators set them.
func (p *PlannerExperiment) generateTrace() (Trace, error) {
	trace, err := Generate(Load(p.Load), p.Seed, p.Rows, p.Experts)
	if p.Preset != planner.Tocka.Name {
		clear(trace.Quiet)
	}
	return trace, err
}

// markQuiet marks the rows of the windows FROM-TO, TO excluded.
func markQuiet(quiet []bool, windows string) error {
	for window := range strings.SplitSeq(windows, ",") {
		if window == "" {
			continue
		}
		from, to, _ := strings.Cut(window, "-")
		first, err := strconv.Atoi(from)
		last, err2 := strconv.Atoi(to)
		if err != nil || err2 != nil || first < 0 || last < first {
			return fault.New(fault.Invalid, "give FROM-TO in rows, with FROM not above TO", "invalid quiet window %q", window)
		}
		for row := first; row < min(last, len(quiet)); row++ {
			quiet[row] = true
		}
	}
	return nil
}
