// Package settings defines the daemons' static settings. Each is a flag with an
// environment variable, except for those of Node, which come from the platform's
// settings file. Check reports all faults of the settings at once.
package settings

import (
	"errors"
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// envPrefix is the prefix of all environment variables.
const envPrefix = "KINGCUPREEL_"

// Common holds the settings that entries and agents have in common. The help text
// of its flag, see Declare, describes each field of Common, Entry and Agent.
type Common struct {
	Process           string
	VM                string
	DataCentre        string
	InnerListen       string
	OpsListen         string
	LogLevel          string
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	DrainTimeout      time.Duration

	malformed malformedValues
}

// Entry holds the settings of an entry.
type Entry struct {
	Planner Planner
	Common
	CallerListen        string
	Platform            string
	PlatformTimeout     time.Duration
	OperatorTokenSHA256 string
	Seeds               []string
	VMListInterval      time.Duration
	DrainNotice         time.Duration
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Upstream string
	Target   string
	Workers  int

	StallTimeout  time.Duration
	OrphanTimeout time.Duration
}

// flag declares a flag that can also be set by its environment variable.
func flag(cmd *kingpin.CmdClause, name, help string) *kingpin.FlagClause {
	return cmd.Flag(name, help).Envar(envName(name))
}

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (c *Common) declare(cmd *kingpin.CmdClause, drainTimeout string) {
	flag(cmd, "process", "Name of this process, unique in the deployment. Required.").StringVar(&c.Process)
	flag(cmd, "vm", "Id of the VM in the VM list. Optional: a VM that is not listed has none.").StringVar(&c.VM)
	flag(cmd, "data-centre", "Data centre of the VM. Required.").StringVar(&c.DataCentre)
	flag(cmd, "inner-listen", "Address of the inner protocol, IP:port; port 0 chooses a free one.").Default("127.0.0.1:0").StringVar(&c.InnerListen)
	flag(cmd, "ops-listen", "Address of the operators' interface, health checks and metrics, IP:port.").Default("127.0.0.1:0").StringVar(&c.OpsListen)
	flag(cmd, "log-level", "Log level: debug, info, warn or error.").Default("info").StringVar(&c.LogLevel)
	c.duration(cmd, "heartbeat", "Interval of heartbeats between processes.", "1s", &c.HeartbeatInterval)
	c.duration(cmd, "silence", "Time without a frame after which a connection is replaced.", "3s", &c.SilenceTimeout)
	c.duration(cmd, "drain-timeout", "Longest time that a graceful stop waits for work in flight.", drainTimeout, &c.DrainTimeout)
}

// Declare adds the entry's flags to a command.
func (e *Entry) Declare(cmd *kingpin.CmdClause) {
	e.declare(cmd, "1h")
	e.Planner.Declare(cmd)
	flag(cmd, "caller-listen", "Address for the callers' HTTP requests, IP:port.").Default("127.0.0.1:0").StringVar(&e.CallerListen)
	flag(cmd, "platform", "Base URL of the platform's key-value service and VM list, http or https. Required.").StringVar(&e.Platform)
	e.duration(cmd, "platform-timeout", "Timeout of a call to the platform.", "2s", &e.PlatformTimeout)
	flag(cmd, "operator-token-sha256", "Hex SHA-256 of the first operator's token, for use before any operator record exists. Optional.").StringVar(&e.OperatorTokenSHA256)
	flag(cmd, "seed", "Inner address of another entry, IP:port, for a start while the VM list is unavailable. Optional, repeatable (one per line in the variable).").StringsVar(&e.Seeds)
	e.duration(cmd, "vm-list-interval", "Interval between two reads of the VM list.", "1s", &e.VMListInterval)
	e.duration(cmd, "drain-notice", "Time for which a stopping entry still accepts requests after it reports that it isn't ready.", "5s", &e.DrainNotice)
}

// Declare adds the agent's flags to a command.
func (a *Agent) Declare(cmd *kingpin.CmdClause) {
	a.declare(cmd, "60s")
	flag(cmd, "upstream", "Name of the upstream record that this agent serves. Required.").StringVar(&a.Upstream)
	flag(cmd, "target", "Base URL of the engine or plain service on this VM, http or https. Required.").StringVar(&a.Target)
	a.number(cmd, "workers", "Number of attempts that run at once, 1 to 65536; twice as many may wait.", "256", &a.Workers)
	a.duration(cmd, "stall-timeout", "Time without output from the engine after which its attempts continue on another upstream.", "10s", &a.StallTimeout)
	a.duration(cmd, "orphan-timeout", "Time for which an attempt continues without a connection to its entry.", "10s", &a.OrphanTimeout)
}

// checker collects the faults of the settings.
type checker struct {
	faults    []error
	malformed malformedValues
}

// require adds a fault of a setting unless ok is true or the value is malformed,
// which common reports.
func (c *checker) require(ok bool, name, value, remedy string) {
	if _, isMalformed := c.malformed[name]; ok || isMalformed {
		return
	}
	c.faults = append(c.faults, fault.New(fault.Invalid, remedy, "--%s (%s) is %q", name, envName(name), value))
}

func (c *checker) address(name, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, name, value, "give IP:port")
}

func (c *checker) url(name, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, name, value, "give a URL such as http://10.0.0.5:2379")
}

// common checks the common settings. It runs first, since it also reports the
// malformed values that the later checks skip.
func (c *checker) common(s *Common) {
	for _, name := range slices.Sorted(maps.Keys(s.malformed)) {
		v := s.malformed[name]
		c.require(false, name, v.text, v.remedy)
	}
	c.malformed = s.malformed
	c.require(s.Process != "", "process", s.Process, "give each process a unique name")
	c.require(s.DataCentre != "", "data-centre", s.DataCentre, "name the VM's data centre")
	c.address("inner-listen", s.InnerListen)
	c.address("ops-listen", s.OpsListen)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.require(false, "log-level", s.LogLevel, "use debug, info, warn or error")
	}
	c.require(s.HeartbeatInterval > 0, "heartbeat", s.HeartbeatInterval.String(), "give a positive duration such as 1s")
	c.require(s.SilenceTimeout >= 2*s.HeartbeatInterval, "silence", s.SilenceTimeout.String(), "give at least twice the value of --heartbeat")
	c.require(s.DrainTimeout > 0, "drain-timeout", s.DrainTimeout.String(), "give a positive duration such as 60s")
}

// Check returns every fault of the settings, or nil.
func (e *Entry) Check() error {
	var c checker
	c.common(&e.Common)
	c.planner(&e.Planner)
	c.address("caller-listen", e.CallerListen)
	c.url("platform", e.Platform)
	c.require(e.PlatformTimeout > 0, "platform-timeout", e.PlatformTimeout.String(), "give a positive duration such as 2s")
	for _, seed := range e.Seeds {
		c.address("seed", seed)
	}
	c.require(e.VMListInterval > 0, "vm-list-interval", e.VMListInterval.String(), "give a positive duration such as 1s")
	_, drainMalformed := c.malformed["drain-timeout"]
	c.require(e.DrainNotice >= 0 && (drainMalformed || e.DrainNotice < e.DrainTimeout), "drain-notice", e.DrainNotice.String(), "give less than the value of --drain-timeout")
	hash := e.OperatorTokenSHA256
	c.require(hash == "" || sha256Pattern.MatchString(hash), "operator-token-sha256", hash, "give 64 lower-case hex digits, or leave it out")
	return errors.Join(c.faults...)
}

// Check returns every fault of the settings, or nil.
func (a *Agent) Check() error {
	var c checker
	c.common(&a.Common)
	c.require(a.Upstream != "", "upstream", a.Upstream, "name the upstream record")
	c.url("target", a.Target)
	c.require(a.Workers > 0 && a.Workers <= 65536, "workers", strconv.Itoa(a.Workers), "give 1 to 65536")
	c.require(a.StallTimeout > 0, "stall-timeout", a.StallTimeout.String(), "give a positive duration such as 10s")
	c.require(a.OrphanTimeout > a.SilenceTimeout, "orphan-timeout", a.OrphanTimeout.String(), "give more than the value of --silence")
	return errors.Join(c.faults...)
}
