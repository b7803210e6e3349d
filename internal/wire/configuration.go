package wire

import "github.com/kingcupreel/kingcupreel/internal/timeline"

// The message kinds for the distribution of configuration and the VM list, and
// for operators' status queries.
const (
	KindConfigState Kind = iota + 60
	KindConfigPull
	KindConfigUpdate
	KindVMsPull
	KindVMsUpdate
	KindStatusRequest
	KindStatusReply
)

// ConfigState announces the versions of the sender's configuration and VM list.
// It is sent at each change and periodically. A receiver with older versions
// pulls the newer ones. Revision and Base are those of config.Snapshot.
type ConfigState struct {
	Revision int64
	Base     int64
	// AgeMS is how long ago the sender's revision was known to be the newest
	// at the key-value service, in milliseconds. Negative means never.
	AgeMS int64
	// Restored is set if the sender has seen that the service was restored to an
	// older copy.
	Restored bool
	// VMs is the hash of the VM list, VMsAgeMS its age, defined like AgeMS.
	VMs      uint64
	VMsAgeMS int64
	Stamp    timeline.Stamp
}

// ConfigPull asks for the changes after the sender's revision and base. An agent
// names its upstream, and gets only the records that the upstream needs.
type ConfigPull struct {
	Revision int64
	Base     int64
	Upstream string
}

// ConfigUpdate is one part of an update from revision From to revision To. Part
// counts from 1 to Parts. A full snapshot has Full set and From 0; otherwise the
// update holds the changes after From. Partial is set if records outside the
// receiver's scope are left out. Base is the configuration's base at To, see
// config.Epoch.
type ConfigUpdate struct {
	Base    int64
	From    int64
	To      int64
	Full    bool
	Partial bool
	Part    int
	Parts   int
	Records []ConfigRecord
	Removed []string
	Stamp   timeline.Stamp
}

// VMsPull asks for the changes of the VM list since the list with the given hash.
type VMsPull struct{ Hash uint64 }

// VM is one VM of the VM list.
type VM struct {
	ID         string
	DataCentre string
	Role       string
	Address    string
	State      string
}

// VMsUpdate holds the changes from the VM list with hash From to the one with hash
// To, or the whole list if Full is set. AgeMS is the age of the list To, defined
// like ConfigState.AgeMS.
type VMsUpdate struct {
	From, To uint64
	Full     bool
	AgeMS    int64
	Changed  []VM
	Removed  []string
}

// StatusRequest asks an entry for its own status and that of the agents to which
// it is connected. If Below is not 0, only processes with a configuration revision
// under Below are included.
type StatusRequest struct {
	Nonce uint64
	Below int64
}

// StatusReply answers a StatusRequest. Each element of Processes is an
// opapi.ProcessStatus in JSON.
type StatusReply struct {
	Nonce     uint64
	Processes [][]byte
}

// Kind implements Message.
func (*ConfigState) Kind() Kind { return KindConfigState }

// Kind implements Message.
func (*ConfigPull) Kind() Kind { return KindConfigPull }

// Kind implements Message.
func (*ConfigUpdate) Kind() Kind { return KindConfigUpdate }

// Kind implements Message.
func (*VMsPull) Kind() Kind { return KindVMsPull }

// Kind implements Message.
func (*VMsUpdate) Kind() Kind { return KindVMsUpdate }

// Kind implements Message.
func (*StatusRequest) Kind() Kind { return KindStatusRequest }

// Kind implements Message.
func (*StatusReply) Kind() Kind { return KindStatusReply }

func (m *ConfigState) stamp() *timeline.Stamp  { return &m.Stamp }
func (m *ConfigUpdate) stamp() *timeline.Stamp { return &m.Stamp }

// configurationFactories holds the factories of the messages for configuration and
// status, kinds 60 to 69.
var configurationFactories = map[Kind]factory{
	KindConfigState:   func() Message { return new(ConfigState) },
	KindConfigPull:    func() Message { return new(ConfigPull) },
	KindConfigUpdate:  func() Message { return new(ConfigUpdate) },
	KindVMsPull:       func() Message { return new(VMsPull) },
	KindVMsUpdate:     func() Message { return new(VMsUpdate) },
	KindStatusRequest: func() Message { return new(StatusRequest) },
	KindStatusReply:   func() Message { return new(StatusReply) },
}
