package settings

import (
	"errors"
	"net"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Node are the settings that the platform gives a process on a VM of its own.
type Node struct {
	// Name is unique in the deployment.
	Name       string
	DataCentre string
	IP         string
	// CallerListen and ReadyListen are empty on a VM that serves no callers.
	CallerListen, ReadyListen string
	// FirstPort to LastPort are free for the inner protocol.
	FirstPort, LastPort int
	// StoreAddress is the platform's key-value service, IP:port.
	StoreAddress string
	// LocalUpstream is the address of the upstream on this VM, LocalService
	// the service it belongs to; both are empty on an entry VM.
	LocalUpstream, LocalService string

	MemoryBytes int64

	// DrainBound is how soon after its announcement a leaving upstream must
	// get no new work, ConfigBound how soon a configuration must be in force.
	DrainBound, ConfigBound time.Duration
	// MaxPartition is how long a partition lasts at most by what the platform
	// promises, 0 for unknown.
	MaxPartition time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MinLeaseTTL is the least term that the store grants.
	MinLeaseTTL time.Duration

	// RetryRatio and RetryAllowance bound the repeats that a service gets from
	// all entries in RetryWindow: ratio times its requests plus the allowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration

	// FencingEnforced says that engines refuse an order with an old token.
	FencingEnforced bool
}

// Check returns every fault of the settings, or nil.
func (n *Node) Check() error {
	var faults []error
	bad := func(ok bool, field, remedy string) {
		if !ok {
			faults = append(faults, fault.New(fault.Invalid, remedy, "the node's %s is missing or out of range", field))
		}
	}
	bad(n.Name != "", "name", "name the node")
	bad(n.DataCentre != "", "data centre", "give the data centre of the VM")
	bad(net.ParseIP(n.IP) != nil, "IP address", "give the VM's IP address")
	bad(isAddress(n.StoreAddress), "store address", "give the store's address as IP:port")
	bad(n.CallerListen == "" || isAddress(n.CallerListen), "callers' address", "give it as IP:port")
	bad(n.ReadyListen == "" || isAddress(n.ReadyListen), "readiness address", "give it as IP:port")
	bad(n.FirstPort > 0 && n.LastPort >= n.FirstPort && n.LastPort < 1<<16, "internal ports", "give the first and the last port")
	bad(n.LocalUpstream == "" || isAddress(n.LocalUpstream), "upstream address", "give it as IP:port")
	bad(n.MemoryBytes > 0, "memory limit", "give the memory in MB")
	bad(n.Grace > 0, "grace", "give the time between SIGTERM and SIGKILL")
	bad(n.RetryRatio >= 0 && n.RetryAllowance >= 0 && n.RetryWindow > 0, "retry budget", "give ratio, allowance and window")
	return errors.Join(faults...)
}

func isAddress(a string) bool {
	_, _, err := net.SplitHostPort(a)
	return err == nil
}
