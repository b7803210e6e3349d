package entry

// heldLimit bounds the chunks of an attempt that wait for an earlier one.
const heldLimit = 64

// arrival says what a chunk's number means for the order.
type arrival int

// The arrivals.
const (
	// inOrder means that the chunk, and maybe held ones, can be passed on.
	inOrder arrival = iota
	// duplicate means that the chunk came before.
	duplicate
	// early means that the chunk is held until the earlier ones come.
	early
	// tooEarly means that the chunk was dropped: earlier ones are missing and
	// too many chunks wait for them.
	tooEarly
)

// sequence puts the numbered chunks of an attempt into order, each once.
type sequence struct {
	// last is the number of the last chunk passed on.
	last uint64
	held map[uint64][]byte
}

func newSequence(last uint64) *sequence {
	return &sequence{last: last, held: map[uint64][]byte{}}
}

// add takes a chunk and returns those that can now be passed on, in order.
func (s *sequence) add(seq uint64, data []byte) ([][]byte, arrival) {
	if _, held := s.held[seq]; held || seq <= s.last {
		return nil, duplicate
	}
	if seq != s.last+1 {
		return nil, s.hold(seq, data)
	}
	ready := [][]byte{data}
	s.last = seq
	for next, ok := s.held[s.last+1]; ok; next, ok = s.held[s.last+1] {
		s.last++
		delete(s.held, s.last)
		ready = append(ready, next)
	}
	return ready, inOrder
}

func (s *sequence) hold(seq uint64, data []byte) arrival {
	if len(s.held) >= heldLimit {
		return tooEarly
	}
	s.held[seq] = data
	return early
}
