package agent

import "github.com/kingcupreel/kingcupreel/internal/wire"

// replayLimit bounds the data of the chunks that a run keeps for a replay, in
// bytes. A chunk counts with wire.ChunkOverhead more than its data. The newest
// chunk is always kept.
const replayLimit = 1 << 20

// replay keeps the newest chunks of a run's answer. The zero value is empty.
type replay struct {
	chunks []*wire.Chunk
	size   int // of the chunks, in bytes
	// lastDropped is the Seq of the last chunk that is no longer kept.
	lastDropped uint64
}

// startAt sets the number that the first chunk follows.
func (p *replay) startAt(seq uint64) { p.lastDropped = seq }

// add appends a chunk and drops the oldest ones while the size exceeds limit.
func (p *replay) add(c *wire.Chunk, limit int) {
	p.chunks = append(p.chunks, c)
	p.size += wire.ChunkOverhead + len(c.Data)
	for p.size > limit && len(p.chunks) > 1 {
		p.size -= wire.ChunkOverhead + len(p.chunks[0].Data)
		p.lastDropped = p.chunks[0].Seq
		p.chunks[0] = nil
		p.chunks = p.chunks[1:]
	}
}

// after returns the chunks that follow number seq. It returns false if some of
// them are no longer kept.
func (p *replay) after(seq uint64) ([]*wire.Chunk, bool) {
	if seq < p.lastDropped {
		return nil, false
	}
	skip := min(seq-p.lastDropped, uint64(len(p.chunks)))
	return p.chunks[skip:], true
}
