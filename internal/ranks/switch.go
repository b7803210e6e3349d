package ranks

import (
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Switcher carries out switches of one group's map. It is not safe for
// concurrent use.
type Switcher struct {
	Group Group
	// Size is the number of ranks.
	Size int
	// HoldRank is the rank at which the group is held. It should not be the one on
	// the leader's own VM: if that VM stops while the group is held, nobody else
	// could reach the rank to let it go on.
	HoldRank int
	// CopyFromStep is the step from which ranks copy the experts of a map; 0 means at
	// once. Copies that begin with a step and end before the next one don't make
	// steps longer.
	CopyFromStep int64
	// Fence returns a number higher, by Repeats at least, than any that this
	// or an earlier leader has used.
	Fence func() int64
	// IsLeader says whether this process may still begin something. What it has
	// begun is ended in any case.
	IsLeader func() bool
	// OnAnswer is told each order and its answer, for the log; nil is allowed.
	OnAnswer func(rank int, o Order, a Answer)
}

// Limits of a switch, in readings of the group.
const (
	// prepareReadings is how long ranks may take to copy their experts.
	prepareReadings = 200
	// armReadings is how long arming may take while the group may be waiting.
	armReadings = 8
	// holdTries is how often a hold is tried at a later step.
	holdTries = 4
)

var (
	errNotLeader = fault.New(fault.Stale, "the next leader goes on", "this process no longer leads the group")
	errStopped   = fault.New(fault.Unavailable, "the next leader goes on", "the process stops")
	errChanged   = fault.New(fault.Conflict, "the group is planned anew", "the group has formed anew or lost a rank")
)

// Switch brings a map into force under a version, from the step that is lead
// steps ahead. It returns when the step may begin, or with the old map in
// force and an error.
func (s *Switcher) Switch(epoch, version int64, m Map, lead int64) error {
	now, err := s.prepare(epoch, version, m)
	if err != nil {
		return err
	}
	step, err := s.hold(epoch, now+lead, lead)
	if err != nil {
		return err
	}
	armed := s.arm(epoch, version, step)
	if !armed {
		err = fault.New(fault.Conflict, "the map is planned again", "not every rank could be armed with version %d for step %d", version, step)
		if cancelErr := s.cancel(epoch, version); cancelErr != nil {
			return cancelErr
		}
	}
	if goErr := s.release(epoch, s.HoldRank, step); goErr != nil {
		return goErr
	}
	return err
}

// step reads the last step begun. All ranks have to be there, in the epoch and
// open.
func (s *Switcher) step(epoch int64) (step int64, err error) {
	statuses := s.Group.ReadStatuses()
	if len(statuses) < s.Size {
		return 0, fault.New(fault.Unavailable, "wait for the rank", "%d of %d ranks can be read", len(statuses), s.Size)
	}
	for _, st := range statuses {
		if !st.Open || st.Epoch != epoch {
			return 0, errChanged
		}
		step = max(step, st.Step)
	}
	return step, nil
}

// all sends one order to every rank, each with a fence of its own.
func (s *Switcher) all(o Order, ranks map[int]bool) map[int]Answer {
	orders := map[int]Order{}
	for r := range ranks {
		o.Fence = s.Fence()
		orders[r] = o
	}
	return s.give(orders)
}

// give sends orders and notes the answers.
func (s *Switcher) give(orders map[int]Order) map[int]Answer {
	answers := s.Group.Order(orders)
	for r, a := range answers {
		if s.OnAnswer != nil {
			s.OnAnswer(r, orders[r], a)
		}
	}
	return answers
}

func (s *Switcher) every() map[int]bool {
	ranks := map[int]bool{}
	for r := range s.Size {
		ranks[r] = true
	}
	return ranks
}

// prepare has every rank copy the map's experts, waits for it, and returns the
// last step begun. A map that is prepared and never armed changes nothing.
func (s *Switcher) prepare(epoch, version int64, m Map) (step int64, err error) {
	open, copying := s.every(), false
	for range prepareReadings {
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		answers := s.all(Order{Op: Prepare, Version: version, Step: s.CopyFromStep, Epoch: epoch, Map: m}, open)
		for r := range open {
			a := answers[r]
			switch {
			case a.OK && a.Status.Epoch != epoch:
				return 0, errChanged
			case a.OK && a.Status.Prepared == version:
				delete(open, r)
				step = max(step, a.Status.Step)
			case a.Verdict == Accepted:
				delete(open, r)
				copying = true
			case a.Verdict == Refused || a.Verdict == Fenced:
				return 0, fault.New(fault.Conflict, "the map is planned again", "rank %d %s version %d", r, a.Verdict, version)
			}
		}
		if len(open) == 0 && !copying {
			return step, nil
		}
		if len(open) == 0 {
			return s.awaitPrepared(epoch, version)
		}
		if !s.Group.Pause() {
			return 0, errStopped
		}
		s.strike(open, epoch, version)
	}
	return 0, fault.New(fault.Timeout, "the map is planned again", "ranks did not take version %d", version)
}

// strike takes out of open the ranks that have the version already: their
// answer was lost.
func (s *Switcher) strike(open map[int]bool, epoch, version int64) {
	for r, st := range s.Group.ReadStatuses() {
		if open[r] && st.Epoch == epoch && st.Prepared == version {
			delete(open, r)
		}
	}
}

func (s *Switcher) awaitPrepared(epoch, version int64) (step int64, err error) {
	for range prepareReadings {
		statuses := s.Group.ReadStatuses()
		ready := 0
		for _, st := range statuses {
			if st.Epoch != epoch || !st.Open {
				return 0, errChanged
			}
			if st.Prepared == version {
				ready++
			}
			step = max(step, st.Step)
		}
		if ready == s.Size {
			return step, nil
		}
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		if !s.Group.Pause() {
			return 0, errStopped
		}
	}
	return 0, fault.New(fault.Timeout, "the map is planned again", "ranks did not copy version %d in time", version)
}

// hold keeps the group from beginning a step, or one lead steps ahead if that
// has begun, and returns the step.
func (s *Switcher) hold(epoch, step, lead int64) (int64, error) {
	for range holdTries {
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		a := s.all(Order{Op: Hold, Step: step, Epoch: epoch}, map[int]bool{s.HoldRank: true})[s.HoldRank]
		switch a.Verdict {
		case Accepted:
			return step, nil
		case Fenced:
			return 0, errNotLeader
		case Unknown:
			// The order may have been carried out, or may be later.
			if err := s.undoHold(epoch); err != nil {
				return 0, err
			}
		}
		now, err := s.step(epoch)
		if err != nil {
			return 0, err
		}
		step = now + lead
	}
	return 0, fault.New(fault.Conflict, "the map is planned again", "no step could be held")
}

// undoHold makes void a Hold whose answer is missing, and lets the group go on if it
// was carried out. No rank is armed then: a switch arms only after its Hold was
// taken, and one that failed has disarmed every rank.
func (s *Switcher) undoHold(epoch int64) error {
	step, err := s.void(s.HoldRank, epoch)
	if err != nil || step == None {
		return err
	}
	return s.release(epoch, s.HoldRank, step)
}

// arm arms every rank for the held step and says whether each has been read to
// be, after its order.
func (s *Switcher) arm(epoch, version, step int64) bool {
	open := s.every()
	for range armReadings {
		answers := s.all(Order{Op: Arm, Version: version, Step: step, Epoch: epoch}, open)
		for r := range open {
			a := answers[r]
			switch {
			case a.OK && a.Status.Epoch == epoch && a.Status.Armed == version:
				delete(open, r)
			case a.Verdict == Refused || a.Verdict == Fenced:
				return false
			}
		}
		if len(open) == 0 {
			return true
		}
		if !s.Group.Pause() {
			return false
		}
	}
	return false
}

// cancel disarms every rank. It returns nil once each has taken an order that
// is newer than any Arm and is not armed, and errChanged when the group has
// formed anew, which clears everything.
func (s *Switcher) cancel(epoch, version int64) error {
	open := s.every()
	for {
		answers := s.all(Order{Op: Disarm, Version: version, Epoch: epoch}, open)
		for r := range open {
			a := answers[r]
			switch {
			case a.OK && a.Status.Epoch != epoch:
				return errChanged
			case a.Verdict == Fenced:
				return errNotLeader
			case a.Verdict != Unknown && a.OK && a.Status.Armed == None:
				delete(open, r)
			}
		}
		if len(open) == 0 {
			return nil
		}
		if !s.Group.Pause() {
			return errStopped
		}
	}
}

// release lets the held step begin and waits until the rank is held no more.
func (s *Switcher) release(epoch int64, rank int, step int64) error {
	for {
		a := s.all(Order{Op: Release, Step: step, Epoch: epoch}, map[int]bool{rank: true})[rank]
		switch {
		case a.Verdict == Fenced:
			return errNotLeader
		case a.OK && a.Status.Epoch != epoch:
			return errChanged
		case a.Verdict == Accepted, a.OK && a.Status.Held != step:
			return nil
		}
		if !s.Group.Pause() {
			return errStopped
		}
	}
}

// Recover ends what an earlier leader, or an order without an answer, has left
// behind at ranks that are held. Where no rank is held nothing is to be done:
// ranks that are armed without a hold are all armed, since their Go has been
// given.
func (s *Switcher) Recover() error {
	statuses := s.Group.ReadStatuses()
	for r, st := range statuses {
		if st.Held == None {
			continue
		}
		if err := s.recoverHold(r, st.Epoch); err != nil {
			return err
		}
	}
	return nil
}

// recoverHold makes every older order void, disarms every rank, and lets the
// step that a rank holds begin. An older Go may have come first: then every
// rank is armed, and stays so.
func (s *Switcher) recoverHold(rank int, epoch int64) error {
	step, err := s.void(rank, epoch)
	if err != nil || step == None {
		return err
	}
	if err := s.disarm(epoch); err != nil {
		return err
	}
	return s.release(epoch, rank, step)
}

// void makes a rank refuse all older orders and returns the step that it holds.
func (s *Switcher) void(rank int, epoch int64) (held int64, err error) {
	for {
		// No map has the version of a fence, so that the order changes nothing.
		o := Order{Op: Disarm, Version: s.Fence(), Epoch: epoch}
		a := s.all(o, map[int]bool{rank: true})[rank]
		switch {
		case a.Verdict == Fenced:
			return None, errNotLeader
		case a.OK && a.Status.Epoch != epoch:
			return None, errChanged
		case a.Verdict != Unknown && a.OK:
			return a.Status.Held, nil
		}
		if !s.Group.Pause() {
			return None, errStopped
		}
	}
}

// disarm makes every rank refuse all older orders and not be armed.
func (s *Switcher) disarm(epoch int64) error {
	// No map has the version of a fence: such an order only makes older ones void.
	open := map[int]int64{}
	for r := range s.Size {
		open[r] = s.Fence()
	}
	for {
		orders := map[int]Order{}
		for r, version := range open {
			orders[r] = Order{Op: Disarm, Version: version, Epoch: epoch, Fence: s.Fence()}
		}
		for r, a := range s.give(orders) {
			switch {
			case a.Verdict == Fenced:
				return errNotLeader
			case a.OK && a.Status.Epoch != epoch:
				return errChanged
			case a.OK && a.Status.Armed != None:
				open[r] = a.Status.Armed
			case a.Verdict != Unknown && a.OK:
				delete(open, r)
			}
		}
		if len(open) == 0 {
			return nil
		}
		if !s.Group.Pause() {
			return errStopped
		}
	}
}

// HasUnfinishedSwitch says whether a group shows what a switch in progress, or an earlier
// leader's, has set up: a hold or an armed rank.
func HasUnfinishedSwitch(statuses map[int]Status) bool {
	for _, st := range statuses {
		if st.Held != None || st.Armed != None {
			return true
		}
	}
	return false
}
