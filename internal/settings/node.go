package settings

import (
	"errors"
	"net"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Node holds the settings that the platform gives a process on one of its VMs.
type Node struct {
	// Name is the process's name, unique in the deployment.
	Name       string
	DataCentre string
	IP         string
	// CallerListen and ReadyListen are empty on a VM that serves no callers.
	CallerListen, ReadyListen string
	// FirstPort to LastPort, inclusive, are reserved for the inner protocol.
	FirstPort, LastPort int
	// StoreAddress is the address of the platform's key-value service, IP:port.
	StoreAddress string
	// LocalUpstream is the address of the upstream on this VM, LocalService the
	// service that it belongs to. Both are empty on an entry VM.
	LocalUpstream, LocalService string

	// Heartbeat is the interval at which upstreams renew their registrations; 0 means
	// unknown.
	Heartbeat time.Duration

	MemoryBytes int64

	// DrainBound is the longest time for which a leaving upstream may get new
	// work after it announced that it leaves. ConfigBound is the longest time
	// until a new configuration is in force.
	DrainBound, ConfigBound time.Duration
	// MaxPartition is the longest network partition according to the platform;
	// 0 means unknown.
	MaxPartition time.Duration
	// EvacuationBound is the longest time until an evacuation of a data centre is in
	// force; 0 if the platform doesn't evacuate.
	EvacuationBound time.Duration
	// WarmupOverage and WarmupAllowance say at how many requests in one second a cold
	// upstream may crash: WarmupOverage times the rate that it bears plus WarmupAllowance.
	WarmupOverage, WarmupAllowance float64
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// MinLeaseTTL is the shortest lease TTL that the store grants.
	MinLeaseTTL time.Duration

	// RetryRatio and RetryAllowance bound the retries of all entries for one
	// service in RetryWindow: RetryRatio times its requests plus RetryAllowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration

	// FencingEnforced reports whether engines refuse orders with an outdated
	// fencing number.
	FencingEnforced bool
}

// Check returns every fault of the settings, or nil.
func (n *Node) Check() error {
	var faults []error
	require := func(ok bool, field, remedy string) {
		if !ok {
			faults = append(faults, fault.New(fault.Invalid, remedy, "the node's %s is missing or out of range", field))
		}
	}
	require(n.Name != "", "name", "name the node")
	require(n.DataCentre != "", "data centre", "give the data centre of the VM")
	require(net.ParseIP(n.IP) != nil, "IP address", "give the VM's IP address")
	require(isAddress(n.StoreAddress), "store address", "give the store's address as IP:port")
	require(n.CallerListen == "" || isAddress(n.CallerListen), "callers' address", "give it as IP:port")
	require(n.ReadyListen == "" || isAddress(n.ReadyListen), "readiness address", "give it as IP:port")
	require(n.FirstPort > 0 && n.LastPort >= n.FirstPort && n.LastPort < 1<<16, "internal ports", "give a first and a last port from 1 to 65535, the first not above the last")
	require(n.LocalUpstream == "" || isAddress(n.LocalUpstream), "upstream address", "give it as IP:port")
	require(n.MemoryBytes > 0, "memory limit", "give the memory in MB")
	require(n.Heartbeat >= 0, "upstreams' heartbeat", "give a time of 0 or more")
	require(n.Grace > 0, "grace", "give a positive time from SIGTERM to SIGKILL")
	require(n.RetryRatio >= 0 && n.RetryAllowance >= 0 && n.RetryWindow > 0, "retry budget", "give a ratio and an allowance of 0 or more, and a positive window")
	require(n.EvacuationBound >= 0, "bound on evacuations", "give a time of 0 or more")
	require(n.WarmupOverage >= 0 && n.WarmupAllowance >= 0, "bound on requests to cold upstreams", "give an overage and an allowance of 0 or more")
	return errors.Join(faults...)
}

func isAddress(a string) bool {
	_, _, err := net.SplitHostPort(a)
	return err == nil
}
