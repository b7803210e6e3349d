package provider

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// The size of the target deployment.
const (
	targetUpstreams = 5200
	targetAccounts  = 1600
	targetRanks     = 64
)

// targetRecords returns a configuration of the target size.
func targetRecords(b *testing.B) []config.Record {
	var records []config.Record
	add := func(o config.Object) {
		value, err := v2.Encode(o)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, config.Record{Key: o.Key().Path(), Value: value, Revision: int64(len(records) + 1)})
	}
	for n := range targetUpstreams {
		group := fmt.Sprintf("group-%d", n/targetRanks)
		if n%targetRanks == 0 {
			add(&config.ModelGroup{Name: group, Model: "model", Ranks: targetRanks, Experts: 256, SlotsPerRank: 6})
		}
		add(&config.Upstream{Name: fmt.Sprintf("upstream-%d", n), VM: fmt.Sprintf("vm-%d", n), DataCentre: "dc-1", Address: "10.0.0.1:7000", Group: group, Rank: n % targetRanks})
	}
	for n := range targetAccounts {
		name := fmt.Sprintf("account-%d", n)
		add(&config.ClientAccount{Name: name, TokenSHA256: []string{config.HashToken(name)}, Priority: n % 10})
	}
	return records
}

func frameBytes(b *testing.B, u config.Update) float64 {
	total := 0
	for _, records := range splitRecords(u.Records) {
		frame, err := wire.AppendFrame(nil, &wire.ConfigUpdate{Base: u.Base, From: u.From, To: u.To, Full: u.Full, Partial: u.Partial, Records: records, Removed: u.Removed})
		if err != nil {
			b.Fatal(err)
		}
		total += len(frame)
	}
	return float64(total)
}

// BenchmarkChangeAtTarget applies one changed record at the target size. It
// reports the bytes of a change, of a whole snapshot and of an agent's part,
// and the memory that a store uses.
func BenchmarkChangeAtTarget(b *testing.B) {
	records := targetRecords(b)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	store := config.NewStore(codec.Decode)
	if err := store.Update(config.FullUpdate(records)); err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var bytes float64
	for b.Loop() {
		from := store.Current().Revision
		changed := records[len(records)-1]
		changed.Revision = from + 1
		if err := store.Update(config.Update{From: from, To: from + 1, Records: []config.Record{changed}}); err != nil {
			b.Fatal(err)
		}
		bytes = frameBytes(b, store.Since(from, 0))
	}
	b.ReportMetric(bytes, "change-bytes")
	b.ReportMetric(frameBytes(b, store.Since(0, 0)), "whole-bytes")
	b.ReportMetric(frameBytes(b, store.SinceFor("upstream-7", 0, 0)), "part-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "store-bytes")
}
