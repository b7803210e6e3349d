package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
)

// configSizes are the numbers of records at which the configuration is measured.
// The largest is the target's upstreams, client accounts and model groups.
var configSizes = []float64{800, 1700, 3400, 6900}

// recordsPerAccount is the number of records for each client account among them;
// the others are upstreams.
const recordsPerAccount = 4

// configSlopes measures the size of the whole configuration, and the time and
// memory that a process needs for it.
func configSlopes(context.Context) ([]Slope, error) {
	var sizes, bytes, apply, change, memory []float64
	for _, n := range configSizes {
		records, err := makeRecords(int(n))
		if err != nil {
			return nil, err
		}
		total := 0
		for _, r := range records {
			total += len(r.Key) + len(r.Value)
		}
		sizes = append(sizes, n)
		bytes = append(bytes, float64(total))
		apply = append(apply, milliseconds(applyTime(records)))
		change = append(change, milliseconds(changeTime(records)))
		memory = append(memory, heapBytes(func() *config.Store { return newStore(records) }))
	}
	return fitAll(sizes, []series{
		{"config.snapshot by records", "bytes", bytes},
		{"config.apply by records", "ms", apply},
		{"config.change by records", "ms", change},
		{"config.memory by records", "bytes", memory},
	})
}

// series is the values of one measurement, one per size.
type series struct {
	name   string
	unit   string
	values []float64
}

func fitAll(sizes []float64, all []series) ([]Slope, error) {
	slopes := make([]Slope, 0, len(all))
	for _, s := range all {
		slope, err := Fit(s.name, s.unit, sizes, s.values)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

func makeRecords(n int) ([]config.Record, error) {
	records := make([]config.Record, 0, n)
	for i := range n {
		r, err := makeRecord(i, 0)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// makeRecord returns the i-th record: an upstream, or a client account with the
// given priority.
func makeRecord(i, priority int) (config.Record, error) {
	name := fmt.Sprintf("object-%d", i)
	var obj config.Object = &config.Upstream{
		Name: name, VM: "vm-" + name, DataCentre: fmt.Sprintf("dc-%d", i%targetDataCentres),
		Address: "10.0.0.1:7000", Group: fmt.Sprintf("group-%d", i%targetModels),
	}
	if i%recordsPerAccount == 0 {
		obj = &config.ClientAccount{Name: name, TokenSHA256: []string{strings.Repeat("0", 56) + fmt.Sprintf("%08x", i)}, Priority: priority}
	}
	value, err := v2.Encode(obj)
	return config.Record{Key: obj.Key().Path(), Value: value, Revision: int64(i + 1)}, err
}

func newStore(records []config.Record) *config.Store {
	s := config.NewStore(codec.Decode)
	s.Apply(int64(len(records)), records)
	return s
}

// applyTime returns the mean time to apply all records to an empty store.
func applyTime(records []config.Record) time.Duration {
	return time.Duration(nanosecondsPerCall(5, func(int) { newStore(records) }))
}

// changeTime returns the mean time to apply one changed record.
func changeTime(records []config.Record) time.Duration {
	s := newStore(records)
	const changes = 20
	return time.Duration(nanosecondsPerCall(changes, func(i int) {
		r, err := makeRecord(0, i%config.MaxPriority)
		if err != nil {
			return
		}
		base := s.Current()
		r.Revision = base.Revision + 1
		_ = s.Update(config.Update{From: base.Revision, To: r.Revision, Records: []config.Record{r}})
	}))
}
