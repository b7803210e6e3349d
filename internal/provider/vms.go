package provider

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// vmsStaleAfter is the age of the VM list at which an entry that is not the
	// reader reads the list itself, after a jitter of up to vmsStaleJitter.
	vmsStaleAfter  = 2500 * time.Millisecond
	vmsStaleJitter = 1 * time.Second
	// vmsPollInterval is how often an entry checks whether it has to read the
	// list.
	vmsPollInterval = 250 * time.Millisecond
)

// VMs keeps the view of the VM list current: one entry of a data centre reads
// the list from its source, and the others receive it from each other.
type VMs struct {
	// Age is the age of the list in the view.
	Age  *Age
	view *membership.View
}

// NewVMs returns a VMs that updates view.
func NewVMs(view *membership.View, clock clockwork.Clock) *VMs {
	return &VMs{Age: NewAge(clock), view: view}
}

// Run reads the list at jittered intervals while this entry is the reader or
// the list in the view is unknown or stale, until ctx is done.
func (v *VMs) Run(ctx context.Context, list kvstore.VMList, interval time.Duration, isReader func() bool) {
	for maxAge := vmsStaleAfter + rand.N(vmsStaleJitter); ctx.Err() == nil; {
		if age, known := v.Age.Get(); known && !isReader() && age < maxAge {
			sleep(ctx, vmsPollInterval)
			continue
		}
		if vms, err := list.VMs(ctx); err == nil {
			v.view.Set(vms)
			v.Age.Observe(0)
		}
		maxAge = vmsStaleAfter + rand.N(vmsStaleJitter)
		sleep(ctx, jittered(interval))
	}
}

// state handles a peer's announcement: it observes the age of an equal
// list, and pulls a different list if that is fresher.
func (v *VMs) state(c *wire.Conn, m *wire.ConfigState) {
	if m.VMsAgeMS < 0 {
		return
	}
	age, known := v.Age.Get()
	fresher := !known || fromWire(m.VMsAgeMS) < age
	switch {
	case m.VMs == v.view.Hash():
		v.Age.Observe(fromWire(m.VMsAgeMS))
	case fresher:
		_ = c.Send(&wire.VMsPull{Hash: v.view.Hash()})
	}
}

// servePull sends the changes since the requested list, or the whole list.
func (v *VMs) servePull(c *wire.Conn, m wire.Message) {
	change := v.view.Since(m.(*wire.VMsPull).Hash)
	u := &wire.VMsUpdate{From: change.From, To: change.To, Full: change.Full, AgeMS: v.Age.wire(), Removed: change.Removed}
	for _, vm := range change.Changed {
		u.Changed = append(u.Changed, wire.VM{ID: vm.ID, DataCentre: vm.DataCentre, Role: vm.Role, Address: vm.Address, State: string(vm.State)})
	}
	_ = c.Send(u)
}

// applyUpdate applies a peer's list if it is fresher than the own one.
func (v *VMs) applyUpdate(_ *wire.Conn, m wire.Message) {
	u := m.(*wire.VMsUpdate)
	age, known := v.Age.Get()
	if u.AgeMS < 0 || (known && fromWire(u.AgeMS) >= age) {
		return
	}
	change := membership.Change{From: u.From, To: u.To, Full: u.Full, Removed: u.Removed}
	for _, vm := range u.Changed {
		change.Changed = append(change.Changed, kvstore.VM{ID: vm.ID, DataCentre: vm.DataCentre, Role: vm.Role, Address: vm.Address, State: kvstore.VMState(vm.State)})
	}
	if v.view.Apply(change) {
		v.Age.Observe(fromWire(u.AgeMS))
	}
}
