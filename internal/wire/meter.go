package wire

import (
	"sync/atomic"
)

// Meter counts the frames and bytes of a process's connections, separately for
// control messages and for work: requests and their answers. The zero value is
// ready to use; a nil Meter counts nothing.
type Meter struct {
	ControlIn, ControlOut Volume
	WorkIn, WorkOut       Volume
}

// Volume is a count of frames and their bytes.
type Volume struct {
	Frames atomic.Int64
	Bytes  atomic.Int64
}

func (v *Volume) add(bytes int) {
	v.Frames.Add(1)
	v.Bytes.Add(int64(bytes))
}

// isRequest reports whether messages of a kind belong to a request; all others
// are control messages.
func isRequest(k Kind) bool {
	return k >= KindDispatch && k <= KindVerdict || k == KindAttach || k == KindRelease ||
		k == KindCallQuery || k == KindCallStatus
}

// isMapSwitch reports whether messages of a kind belong to a map switch, during
// which ranks wait.
func isMapSwitch(k Kind) bool { return k >= KindMapStage && k <= KindFenceInfo }

func (m *Meter) countReceived(k Kind, bytes int) {
	switch {
	case m == nil:
	case isRequest(k):
		m.WorkIn.add(bytes)
	default:
		m.ControlIn.add(bytes)
	}
}

func (m *Meter) countSent(k Kind, bytes int) {
	switch {
	case m == nil:
	case isRequest(k):
		m.WorkOut.add(bytes)
	default:
		m.ControlOut.add(bytes)
	}
}
