package bench

import (
	"context"
	"fmt"
	"slices"

	"github.com/alecthomas/kingpin/v2"
)

// measurement measures the slopes of one area in this process, with the packages
// that the processes of a deployment run.
type measurement struct {
	name string
	run  func(ctx context.Context) ([]Slope, error)
}

var measurements = []measurement{
	{"policy", PolicySlopes},
	{"config", configSlopes},
	{"planner", plannerSlopes},
}

func declareSlopes(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("slopes", "Measure, in this process, the slopes that docs/CAPACITY.md is generated from.")
	only := cmd.Flag("only", "Area to measure: policy, config or planner; repeatable, all by default.").Strings()
	return cmd.FullCommand(), func(ctx context.Context) error {
		for _, m := range measurements {
			if len(*only) > 0 && !slices.Contains(*only, m.name) {
				continue
			}
			if err := measure(ctx, e, m); err != nil {
				return err
			}
		}
		return nil
	}
}

func measure(ctx context.Context, e env, m measurement) error {
	slopes, err := m.run(ctx)
	if err != nil {
		return fmt.Errorf("measuring %s: %w", m.name, err)
	}
	for _, s := range slopes {
		if err := e.print(s); err != nil {
			return err
		}
	}
	return nil
}
