package ranks

import (
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Switcher switches the map of one group. It is not safe for concurrent use.
type Switcher struct {
	Group Group
	// Size is the number of ranks.
	Size int
	// HoldRanks are the ranks at which the group may be held, the preferred one first.
	// None of them should be on the leader's own VM: if that VM stops while the group
	// is held, no other agent can reach the rank to release it. Empty means rank 0.
	HoldRanks []int
	// Gate decides whether the group may be held; nil means always.
	Gate *Gate
	// CopyFromStep is the step at whose start the ranks begin to copy the experts
	// of a map; 0 means at once. A copy that starts with a step and ends before the
	// next one doesn't slow any step.
	CopyFromStep int64
	// Fence returns a fence that is at least MaxSends above the last one it returned
	// and above all fences of earlier leaders.
	Fence func() int64
	// IsLeader reports whether this process is still the leader. It is checked
	// before each action that starts or extends a switch; a switch in progress is
	// completed or cancelled regardless.
	IsLeader func() bool
	// ConfirmLeader asks the key-value service whether this process is still the
	// leader. It is called when a rank has fenced an order; nil means that it isn't.
	ConfirmLeader func() bool
	// OnSuperseded is called when a rank has fenced orders of this process for good;
	// nil is allowed.
	OnSuperseded func()
	// OnAnswer is called with each order and its answer; nil is allowed.
	OnAnswer func(rank int, o Order, a Answer)

	// holdRank is the one of HoldRanks that the switch uses.
	holdRank int
	// fencedRanks holds the ranks that have fenced an order although this process was
	// the leader.
	fencedRanks map[int]bool
}

// superseded reports whether an answer shows that another leader has taken over. A rank
// also fences an order if a resend of it, which has a higher fence, arrived first: the
// next order is then accepted.
func (s *Switcher) superseded(rank int, a Answer) bool {
	if a.Verdict != Fenced {
		return false
	}
	if !s.fencedRanks[rank] && s.ConfirmLeader != nil && s.ConfirmLeader() {
		if s.fencedRanks == nil {
			s.fencedRanks = map[int]bool{}
		}
		s.fencedRanks[rank] = true
		return false
	}
	if s.OnSuperseded != nil {
		s.OnSuperseded()
	}
	return true
}

// Limits of a switch, in rounds of orders or readings of the group.
const (
	// maxPrepareReadings bounds the time that ranks may take to accept a map, and
	// then to copy its experts.
	maxPrepareReadings = 200
	// maxArmReadings bounds arming, during which the group may be held.
	maxArmReadings = 8
	// maxHoldAttempts is the number of holds tried, each for a later step.
	maxHoldAttempts = 4
)

var (
	errNotLeader    = fault.New(fault.Stale, "no action needed; the next leader completes or cancels the switch", "this process no longer leads the group")
	errStopped      = fault.New(fault.Unavailable, "no action needed; the next leader completes or cancels the switch", "this process is stopping")
	errGroupChanged = fault.New(fault.Conflict, "no action needed; the leader reads the group again and plans a new map", "the group has formed a new epoch or lost a rank")
)

// errHeld is the error for a switch while a rank is held for an unfinished one. A status
// that shows a new map as prepared is from after every older order.
func errHeld(rank int, step int64) error {
	return fault.New(fault.Conflict, "no action needed; the leader cleans up the unfinished switch first", "rank %d holds step %d for another switch", rank, step)
}

// errSilent is the error for a switch that ends before the group is held because ranks
// leave orders unanswered. Once the group is held, such a rank would keep it held: it has to
// answer before the group is released, whether the switch is completed or withdrawn.
func errSilent(ranks []int) error {
	return fault.New(fault.Unavailable, "check the engines and agents of these ranks if this persists; the leader tries again", "the group is not held while ranks %v leave orders unanswered", ranks)
}

// Switch puts a map into force under a version, from the step that is leadSteps
// ahead. It returns once that step has been released. With an error, the old map
// stays in force, unless the release of an armed group failed: then the next leader
// completes or cancels the switch.
func (s *Switcher) Switch(epoch, version int64, m Map, leadSteps int64) error {
	s.Gate.Begin()
	if err := s.chooseHoldRank(epoch); err != nil {
		return err
	}
	lastStep, err := s.prepare(epoch, version, m)
	if err != nil {
		return err
	}
	step, err := s.hold(epoch, lastStep+leadSteps, leadSteps)
	if err != nil {
		return err
	}
	armed := s.arm(epoch, version, step)
	if !armed {
		err = fault.New(fault.Conflict, "no action needed; the leader plans a new map", "not every rank could be armed with map version %d for step %d", version, step)
		if disarmErr := s.disarmVersion(epoch, version); disarmErr != nil {
			return disarmErr
		}
	}
	if releaseErr := s.release(epoch, s.holdRank, step); releaseErr != nil {
		return releaseErr
	}
	return err
}

// chooseHoldRank chooses the first of HoldRanks that answers an order without effect: an
// engine that answers readings may still leave orders unanswered, and the rank that holds
// the group has to answer the order that releases it.
func (s *Switcher) chooseHoldRank(epoch int64) error {
	candidates := s.HoldRanks
	if len(candidates) == 0 {
		candidates = []int{0}
	}
	s.holdRank = candidates[0]
	if s.Gate == nil {
		return nil
	}
	for _, r := range candidates {
		if !s.IsLeader() {
			return errNotLeader
		}
		fence := s.Fence()
		o := Order{Op: Disarm, Version: fence, Epoch: epoch, Fence: fence}
		a := s.Group.Order(map[int]Order{r: o})[r]
		if s.OnAnswer != nil {
			s.OnAnswer(r, o, a)
		}
		switch {
		case s.superseded(r, a):
			return errNotLeader
		case a.OK && a.Status.Epoch != epoch:
			return errGroupChanged
		case a.Verdict == Accepted:
			s.holdRank = r
			return nil
		}
	}
	return errSilent(candidates)
}

// step returns the last step begun. It fails unless every rank can be read, is
// serving and is in the epoch.
func (s *Switcher) step(epoch int64) (step int64, err error) {
	statuses := s.Group.ReadStatuses()
	if len(statuses) < s.Size {
		return 0, fault.New(fault.Unavailable, "check the ranks' VMs if this persists", "only %d of %d ranks can be read", len(statuses), s.Size)
	}
	for _, st := range statuses {
		if !st.GroupServing || st.Epoch != epoch {
			return 0, errGroupChanged
		}
		step = max(step, st.Step)
	}
	return step, nil
}

// sendToEach sends an order to each of the ranks, with a fence of its own for each.
func (s *Switcher) sendToEach(o Order, ranks map[int]bool) map[int]Answer {
	orders := map[int]Order{}
	for r := range ranks {
		o.Fence = s.Fence()
		orders[r] = o
	}
	return s.sendOrders(orders)
}

// sendOrders sends orders and passes the answers to Gate and OnAnswer.
func (s *Switcher) sendOrders(orders map[int]Order) map[int]Answer {
	answers := s.Group.Order(orders)
	for r := range orders {
		s.Gate.Add(r, answers[r].Verdict)
	}
	for r, a := range answers {
		if s.OnAnswer != nil {
			s.OnAnswer(r, orders[r], a)
		}
	}
	return answers
}

func (s *Switcher) allRanks() map[int]bool {
	ranks := map[int]bool{}
	for r := range s.Size {
		ranks[r] = true
	}
	return ranks
}

// prepare makes every rank copy the map's experts, waits until all have done so, and
// returns the last step begun. A map that is prepared but never armed has no effect.
func (s *Switcher) prepare(epoch, version int64, m Map) (step int64, err error) {
	pending, copying := s.allRanks(), false
	for range maxPrepareReadings {
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		answers := s.sendToEach(Order{Op: Prepare, Version: version, Step: s.CopyFromStep, Epoch: epoch, Map: m}, pending)
		for r := range pending {
			a := answers[r]
			switch {
			case a.OK && a.Status.Epoch != epoch:
				return 0, errGroupChanged
			case a.OK && a.Status.Prepared == version:
				if a.Status.Held != None {
					return 0, errHeld(r, a.Status.Held)
				}
				delete(pending, r)
				step = max(step, a.Status.Step)
			case a.Verdict == Accepted:
				delete(pending, r)
				copying = true
			case a.Verdict == Refused || s.superseded(r, a):
				return 0, fault.New(fault.Conflict, "no action needed; the leader plans a new map", "rank %d answered %s to map version %d", r, a.Verdict, version)
			}
		}
		if silent := s.Gate.Unanswered(); len(silent) > 0 {
			return 0, errSilent(silent)
		}
		if len(pending) == 0 && !copying {
			return step, nil
		}
		if len(pending) == 0 {
			return s.awaitPrepared(epoch, version)
		}
		if !s.Group.Pause() {
			return 0, errStopped
		}
		s.removePrepared(pending, epoch, version)
	}
	return 0, fault.New(fault.Timeout, "no action needed; the leader plans a new map", "not every rank accepted map version %d in time", version)
}

// removePrepared removes from pending the ranks that have prepared the version
// although their answers were lost.
func (s *Switcher) removePrepared(pending map[int]bool, epoch, version int64) {
	for r, st := range s.Group.ReadStatuses() {
		if pending[r] && st.Epoch == epoch && st.Prepared == version && st.Held == None {
			delete(pending, r)
		}
	}
}

func (s *Switcher) awaitPrepared(epoch, version int64) (step int64, err error) {
	for range maxPrepareReadings {
		statuses := s.Group.ReadStatuses()
		preparedRanks := 0
		for r, st := range statuses {
			if st.Epoch != epoch || !st.GroupServing {
				return 0, errGroupChanged
			}
			if st.Prepared == version {
				if st.Held != None {
					return 0, errHeld(r, st.Held)
				}
				preparedRanks++
			}
			step = max(step, st.Step)
		}
		if preparedRanks == s.Size {
			return step, nil
		}
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		if !s.Group.Pause() {
			return 0, errStopped
		}
	}
	return 0, fault.New(fault.Timeout, "no action needed; the leader plans a new map", "not every rank copied the experts of map version %d in time", version)
}

// hold holds the group before a step and returns the step. If the step has begun
// already, hold retries with the step that is leadSteps ahead.
func (s *Switcher) hold(epoch, step, leadSteps int64) (int64, error) {
	for range maxHoldAttempts {
		if !s.IsLeader() {
			return 0, errNotLeader
		}
		a := s.sendToEach(Order{Op: Hold, Step: step, Epoch: epoch}, map[int]bool{s.holdRank: true})[s.holdRank]
		if s.superseded(s.holdRank, a) {
			return 0, errNotLeader
		}
		switch a.Verdict {
		case Accepted:
			return step, nil
		case Unknown, Fenced:
			// The order may have been carried out, or may still be.
			if err := s.cancelHold(epoch); err != nil {
				return 0, err
			}
		}
		lastStep, err := s.step(epoch)
		if err != nil {
			return 0, err
		}
		step = lastStep + leadSteps
	}
	return 0, fault.New(fault.Conflict, "no action needed; the leader plans a new map", "the group could not be held before any step")
}

// cancelHold invalidates a Hold without an answer, and releases the group if the Hold
// was carried out. No rank is armed at that point: a switch arms ranks only after its
// Hold was accepted, and a failed switch has disarmed every rank.
func (s *Switcher) cancelHold(epoch int64) error {
	step, err := s.invalidateOlderOrders(s.holdRank, epoch)
	if err != nil || step == None {
		return err
	}
	return s.release(epoch, s.holdRank, step)
}

// arm arms every rank for the held step. It reports whether every rank was seen armed after
// the order or, if its status isn't known, has accepted the order.
func (s *Switcher) arm(epoch, version, step int64) bool {
	pending := s.allRanks()
	for range maxArmReadings {
		answers := s.sendToEach(Order{Op: Arm, Version: version, Step: step, Epoch: epoch}, pending)
		for r := range pending {
			a := answers[r]
			switch {
			case a.Verdict == Accepted && !a.OK, a.OK && a.Status.Epoch == epoch && a.Status.Armed == version:
				delete(pending, r)
			case a.Verdict == Refused || s.superseded(r, a):
				return false
			}
		}
		if len(pending) == 0 {
			return true
		}
		if !s.Group.Pause() {
			return false
		}
	}
	return false
}

// disarmVersion disarms every rank that is armed with a version. It returns nil once
// every rank has accepted an order newer than any Arm of the version, or has the version
// in force, and errGroupChanged if the group has a new epoch, which clears holds and arms.
func (s *Switcher) disarmVersion(epoch, version int64) error {
	pending := s.allRanks()
	for {
		answers := s.sendToEach(Order{Op: Disarm, Version: version, Epoch: epoch}, pending)
		for r := range pending {
			a := answers[r]
			switch {
			case a.OK && a.Status.Epoch != epoch:
				return errGroupChanged
			case a.Verdict == Fenced:
				if s.superseded(r, a) {
					return errNotLeader
				}
			case a.Verdict == Accepted, a.Verdict == Refused && a.OK && a.Status.Map == version:
				delete(pending, r)
			}
		}
		if len(pending) == 0 {
			return nil
		}
		if !s.Group.Pause() {
			return errStopped
		}
	}
}

// release lets the held step begin. It retries until the order is accepted or the rank
// no longer holds the step.
func (s *Switcher) release(epoch int64, rank int, step int64) error {
	for {
		a := s.sendToEach(Order{Op: Release, Step: step, Epoch: epoch}, map[int]bool{rank: true})[rank]
		switch {
		case s.superseded(rank, a):
			return errNotLeader
		case a.OK && a.Status.Epoch != epoch:
			return errGroupChanged
		case a.Verdict == Accepted, a.OK && a.Status.Held != step:
			return nil
		}
		if !s.Group.Pause() {
			return errStopped
		}
	}
}
