// Package bench is the load and experiment tool: it sends load to a deployment,
// samples its processes, evaluates policies in simulations with a given seed, and
// measures the slopes that docs/CAPACITY.md is generated from. Commands print their
// results as JSON lines.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the tool.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// env holds the output of the commands.
type env struct{ out io.Writer }

// print writes v as one JSON line.
func (e env) print(v any) error { return json.NewEncoder(e.out).Encode(v) }

// command runs one of the tool's commands.
type command func(ctx context.Context) error

// declareFunc adds a command to the application and returns the command's name.
type declareFunc func(app *kingpin.Application, e env) (string, command)

// declarations are the tool's commands.
var declarations = []declareFunc{
	declareLoad,
	declarePath,
	declareSample,
	declareCalls,
	declareUpstreams,
	declareAwait,
	declareChanges,
	declareListVM,
	declareSlopes,
	declareFit,
	declareCapacity,
	declarePlanner,
	declareOverload,
	declareBalance,
}

// Main parses the arguments and runs the command. It returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreel-bench", "Load generator and experiments for kingcupreel; prints JSON lines.")
	app.UsageWriter(out).ErrorWriter(errOut)
	commands := map[string]command{}
	for _, declare := range declarations {
		name, run := declare(app, env{out: out})
		commands[name] = run
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "%v; see kingcupreel-bench --help\n", err)
		return ExitUsage
	}
	if err := commands[name](ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailure
	}
	return ExitOK
}

// milliseconds converts d to a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
