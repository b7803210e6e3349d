package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/platform"
)

// ChangesReport is the line that the changes command prints.
type ChangesReport struct {
	Changes int `json:"changes"`
}

func declareChanges(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("changes", "Change a configuration record at an interval.")
	url := cmd.Flag("platform", "Base URL of the key-value stand-in.").Required().String()
	interval := cmd.Flag("interval", "Time between two changes.").Default("1s").Duration()
	duration := cmd.Flag("duration", "Time over which to change.").Default("10s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		n, err := writeChanges(ctx, *url, *interval, *duration)
		if err != nil {
			return err
		}
		return e.print(ChangesReport{Changes: n})
	}
}

// writeChanges writes a new version of plain service "changing" at each interval
// until duration has passed. It returns the number of writes.
func writeChanges(ctx context.Context, url string, interval, duration time.Duration) (int, error) {
	kv := platform.NewStore(url, platform.DefaultStoreTimeout)
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); n++ {
		calls := []config.CallPattern{{Method: "POST", PathPrefix: fmt.Sprintf("/once-%d", n)}}
		if err := writeRecord(ctx, kv, &config.PlainService{Name: "changing", NonIdempotent: calls}); err != nil {
			return n, err
		}
		if err := sleep(ctx, interval); err != nil {
			return n, err
		}
	}
	return n, nil
}
