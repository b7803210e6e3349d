// Package kvstore defines what kingcupreel asks of the key-value service and the
// VM list. The client of the users' platform is in platform/; stand-ins speak the
// same protocol.
package kvstore

import (
	"context"
	"time"
)

// Revisions that a Put may expect instead of an item's own.
const (
	// AnyRevision writes whatever is there.
	AnyRevision int64 = -1
	// MustNotExist writes only when the key is absent.
	MustNotExist int64 = 0
)

// Item is one key of the key-value service.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// CreateRevision and ModRevision are the service's revisions at which the
	// key was created and last written.
	CreateRevision int64 `json:"create_revision"`
	ModRevision    int64 `json:"mod_revision"`
	// Lease is the lease that the key is bound to; 0 for none.
	Lease int64 `json:"lease,omitempty"`
}

// Listing is a consistent read of a prefix at a revision.
type Listing struct {
	Revision int64  `json:"revision"`
	Items    []Item `json:"items"`
}

// Event is one change of a key. A deleted key has Deleted set and only Key and
// ModRevision filled in.
type Event struct {
	Item    Item `json:"item"`
	Deleted bool `json:"deleted,omitempty"`
}

// Batch is what a watch returns: the events after the asked revision, up to
// Revision.
type Batch struct {
	Revision int64   `json:"revision"`
	Events   []Event `json:"events"`
}

// Put is a write of one key.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the ModRevision that the key must have, or AnyRevision or
	// MustNotExist.
	Expect int64 `json:"expect"`
	// Lease binds the key to a lease; 0 for none.
	Lease int64 `json:"lease,omitempty"`
}

// KV is the key-value service. An error of kind Conflict means that the write
// did not take effect; one of kind Timeout or Unavailable from a write means
// that it may have.
type KV interface {
	// Get reads one key; an absent key gives an error of kind NotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes a key and returns the revision of the write.
	Put(ctx context.Context, p Put) (int64, error)
	// Delete removes a key whose ModRevision is expect, or AnyRevision.
	Delete(ctx context.Context, key string, expect int64) (int64, error)
	// Watch waits up to wait for changes below prefix after a revision. An
	// error of kind Stale means that the service no longer has them: list anew.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease; an error of kind NotFound means it lapsed.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

// VMState is a VM's state in the VM list.
type VMState string

// The VM states.
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
	// Address is the inner protocol's host:port by IP.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// VMs returns the list as the platform knows it.
	VMs(ctx context.Context) ([]VM, error)
}
