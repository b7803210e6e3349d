package ranks

// Recover cleans up an unfinished switch, left by an earlier leader or by an order
// without an answer: it disarms the ranks and releases every held rank. Without a
// held rank it does nothing: ranks armed without a hold are all armed, because the
// Release has already been sent.
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

// recoverHold invalidates all older orders, disarms every rank, and releases the step
// that a rank holds. If an older Release arrived first, the rank holds no step, every
// rank is armed, and recoverHold leaves them armed.
func (s *Switcher) recoverHold(rank int, epoch int64) error {
	step, err := s.invalidateOlderOrders(rank, epoch)
	if err != nil || step == None {
		return err
	}
	if err := s.disarmAll(epoch); err != nil {
		return err
	}
	return s.release(epoch, rank, step)
}

// invalidateOlderOrders makes a rank refuse all older orders and returns the step that
// it holds after them, or None.
func (s *Switcher) invalidateOlderOrders(rank int, epoch int64) (held int64, err error) {
	for {
		a := s.sendToEach(s.invalidation(epoch), map[int]bool{rank: true})[rank]
		switch {
		case s.superseded(rank, a):
			return None, errNotLeader
		case a.OK && a.Status.Epoch != epoch:
			return None, errGroupChanged
		case a.Verdict == Accepted && a.OK:
			return a.Status.Held, nil
		}
		if !s.Group.Pause() {
			return None, errStopped
		}
	}
}

// invalidation returns an order that only makes a rank refuse all older ones: no map has a
// fence as its version. Only an accepted one has done so.
func (s *Switcher) invalidation(epoch int64) Order {
	return Order{Op: Disarm, Version: s.Fence(), Epoch: epoch, Confirm: true}
}

// disarmAll disarms every rank, whatever its version, and makes it refuse all older
// orders.
func (s *Switcher) disarmAll(epoch int64) error {
	// The answers to the first orders contain the versions to disarm.
	pending := map[int]Order{}
	for r := range s.Size {
		pending[r] = s.invalidation(epoch)
	}
	for {
		orders := map[int]Order{}
		for r, o := range pending {
			o.Fence = s.Fence()
			orders[r] = o
		}
		for r, a := range s.sendOrders(orders) {
			invalidating := orders[r].Confirm
			switch {
			case s.superseded(r, a):
				return errNotLeader
			case a.OK && a.Status.Epoch != epoch:
				return errGroupChanged
			case invalidating && a.Verdict == Accepted && a.OK && a.Status.Armed != None:
				pending[r] = Order{Op: Disarm, Version: a.Status.Armed, Epoch: epoch}
			case a.Verdict == Accepted && (!invalidating || a.OK), a.Verdict == Refused && !invalidating && a.OK && a.Status.Armed == None:
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

// HasUnfinishedSwitch reports whether any rank is held or armed, which means that a
// switch is in progress or was left unfinished by an earlier leader.
func HasUnfinishedSwitch(statuses map[int]Status) bool {
	for _, st := range statuses {
		if st.Held != None || st.Armed != None {
			return true
		}
	}
	return false
}
