package agent

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// TestReplayIsCompleteOrRefused checks that a replay has no gap and that the kept
// data stays within the limit.
func TestReplayIsCompleteOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p replay
		start := rapid.Uint64Range(0, 5).Draw(t, "start")
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		p.startAt(start)
		last := start
		for range rapid.IntRange(0, 30).Draw(t, "chunks") {
			last++
			p.add(&wire.Chunk{Seq: last, Data: make([]byte, rapid.IntRange(0, 10).Draw(t, "size"))}, limit)
		}
		if p.size > limit && len(p.chunks) > 1 {
			t.Fatalf("keeps %d bytes, limit %d", p.size, limit)
		}
		after := rapid.Uint64Range(0, last+2).Draw(t, "after")
		chunks, ok := p.after(after)
		if !ok && after >= p.lastDropped {
			t.Fatalf("refuses a replay after %d with last dropped %d", after, p.lastDropped)
		}
		if !ok {
			return
		}
		if want := max(last, after) - after; uint64(len(chunks)) != want {
			t.Fatalf("replays %d chunks after %d, last is %d", len(chunks), after, last)
		}
		for i, c := range chunks {
			if c.Seq != after+uint64(i)+1 {
				t.Fatalf("chunk %d at index %d of the replay after %d", c.Seq, i, after)
			}
		}
	})
}
