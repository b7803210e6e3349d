// Package kvstore defines the interfaces to the key-value service and to the VM
// list. The client of the users' platform is in platform/; the stand-ins speak
// the same protocol.
package kvstore

import (
	"context"
	"time"
)

// Special values of Put.Expect.
const (
	// AnyRevision makes the write unconditional.
	AnyRevision int64 = -1
	// MustNotExist makes the write fail if the key exists.
	MustNotExist int64 = 0
)

// Item is a key of the key-value service with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// CreateRevision and ModRevision are the service's revisions at which the
	// key was created and last written.
	CreateRevision int64 `json:"create_revision"`
	ModRevision    int64 `json:"mod_revision"`
	// Lease is the lease that the key is bound to; 0 means none.
	Lease int64 `json:"lease,omitempty"`
}

// Listing holds the keys below a prefix. A watch that starts after Revision
// returns every change that the listing lacks.
type Listing struct {
	Revision int64  `json:"revision"`
	Items    []Item `json:"items"`
	// Era is the era of Revision and of the items' revisions.
	Era int64 `json:"era,omitempty"`
}

// Position returns the position of the listing.
func (l Listing) Position() Position { return Position{l.Era, l.Revision} }

// Event is one change of a key. For a deletion, Deleted is set and Item has only
// Key and ModRevision.
type Event struct {
	Item    Item `json:"item"`
	Deleted bool `json:"deleted,omitempty"`
}

// Batch is the result of a watch: the events after the requested revision, up to
// and including Revision.
type Batch struct {
	Revision int64   `json:"revision"`
	Events   []Event `json:"events"`
	// Era is the era of Revision and of the events' revisions. If it isn't the era of
	// the revision that was asked for, the events are from another history and the
	// caller must list the prefix again.
	Era int64 `json:"era,omitempty"`
}

// Put is a write of one key.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the ModRevision that the key must have, or AnyRevision or
	// MustNotExist.
	Expect int64 `json:"expect"`
	// Lease is the lease to bind the key to; 0 means none.
	Lease int64 `json:"lease,omitempty"`
}

// KV is the key-value service. An error of kind Conflict means that the write
// did not take effect; one of kind Timeout or Unavailable from a write means
// that it may have.
type KV interface {
	// Get reads a key. If it is absent, the error has kind NotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys below a prefix. An error of kind Stale means that the
	// service began a new era meanwhile.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListStale is List for a fraction of the cost, but the listing may be seconds
	// old. A watch from its revision returns what it lacks.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// Put writes a key and returns the revision of the write.
	Put(ctx context.Context, p Put) (int64, error)
	// Delete deletes a key if its ModRevision is expect or if expect is
	// AnyRevision. It returns the revision of the deletion.
	Delete(ctx context.Context, key string, expect int64) (int64, error)
	// Watch waits up to wait for changes below prefix after a revision. An
	// error of kind Stale means that the service no longer has all of them and
	// that the caller must list the prefix again.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// Grant creates a lease that expires after ttl unless it is renewed, and
	// returns its id.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease. An error of kind NotFound means that the lease
	// has expired.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease int64) error
	// Eras returns the tracker of the service's era. A lease ends with the era in
	// which it was granted: its id must not be used in a later one.
	Eras() *Eras
}

// VMState is a VM's state in the VM list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM of the VM list.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Role is entry or upstream.
	Role string `json:"role"`
	// Address is the IP:port of the inner protocol.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the lagging list of a deployment's VMs.
type VMList interface {
	// VMs returns the list, which may lag behind the actual VMs.
	VMs(ctx context.Context) ([]VM, error)
}
