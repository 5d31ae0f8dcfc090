package entry

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
)

// Settings is what a process learns from its own file. Fields that are not
// known are ignored.
type Settings struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Regions has the region of each zone.
	Regions map[string]string `yaml:"regions"`
	// Callers, Readiness and Operators are the addresses to listen at.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Operators string `yaml:"operators"`
	// Host is the machine's address and PeerPort the port of other nodes' calls.
	Host     string `yaml:"host"`
	PeerPort int    `yaml:"peer_port"`
	// Seeds are addresses of some nodes; only the host part is used.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the store that holds the directory.
	Store string `yaml:"store"`
	// StopGrace is the time from the request to stop to the end, in milliseconds.
	StopGrace int `yaml:"stop_grace_ms"`
	// StoreRecoveryWindow is the time after which a disturbance of the store is forgotten, in
	// milliseconds.
	StoreRecoveryWindow int `yaml:"contact_ms"`
	// ConfigurationBound is the time in which an accepted configuration is to be in force
	// everywhere, in milliseconds.
	ConfigurationBound int `yaml:"configuration_bound_ms"`
	// Memory is the limit of the process in megabytes; zero means none.
	MemoryLimitMB int `yaml:"memory_mb"`
	// Cores is the share of processors that the process may use; stronger nodes
	// are preferred for scheduling.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the bandwidth of the machine in megabits a second; nodes with a wide one
	// are preferred for what many others ask for. Zero means that it is not known.
	LinkMbps float64 `yaml:"link_mbps"`
	// RetryRatio, RetryWindow (seconds) and RetrySlack bound repeated sends.
	RetryRatio  float64 `yaml:"retry_ratio"`
	RetryWindow float64 `yaml:"retry_window_s"`
	RetrySlack  float64 `yaml:"retry_slack"`
	// QuotaOverage (a share) and QuotaSlack (units) are how much more than a
	// tenant's quota may be handed out in QuotaWindow (seconds); a part of them is
	// used, so that nothing below the quota is refused.
	QuotaWindow  float64 `yaml:"quota_window_s"`
	QuotaOverage float64 `yaml:"quota_overage"`
	QuotaSlack   float64 `yaml:"quota_slack"`
	// RolloutShare (a share of a service's requests) and RolloutSlack (requests) bound what a
	// new version of the service's replicas gets until it is judged.
	RolloutShare float64 `yaml:"rollout_share"`
	RolloutSlack float64 `yaml:"rollout_slack"`
	// SlowStartOverage (a factor) and SlowStartSlack (requests) are how much more than a service's cold
	// replicas bear in a second one of them may get in any; zero for both means that they are
	// not spared.
	SlowStartOverage float64 `yaml:"cold_overage"`
	SlowStartSlack   float64 `yaml:"cold_slack"`
	// BlockedAfter is under how many ends of replicas a request is no longer sent; zero
	// switches that off.
	BlockedAfter int `yaml:"barred_after_ends"`
	// FirstStart is true on the very first start of the whole system.
	FirstStart bool `yaml:"first_start"`
}

// LoadSettings reads and checks the file. The error is of kind InvalidSettings
// and names path, value and remedy.
func LoadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "settings file: %v", err)
	}
	return ParseSettings(content)
}

// ParseSettings reads and checks the content of a settings file.
func ParseSettings(content []byte) (*Settings, error) {
	settings := &Settings{StopGrace: 8000, StoreRecoveryWindow: 3000, ConfigurationBound: 2000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 20, QuotaWindow: 10, BlockedAfter: poison.DefaultPolicy().CrashThreshold}
	if err := yaml.Unmarshal(content, settings); err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "settings: %s", yaml.FormatError(err, false, true))
	}
	return settings, settings.check()
}

const (
	maxPort     = 65535
	minMemoryMB = 32
)

func (s *Settings) check() error {
	required := []struct{ path, value, remedy string }{
		{"name", s.Name, "give each node a name of its own"},
		{"zone", s.Zone, "name the zone that the machine stands in"},
		{"callers", s.Callers, "name the address to serve callers at, as host:port"},
		{"readiness", s.Readiness, "name the address to answer the balancer at, as host:port"},
		{"operators", s.Operators, "name the address to serve operators at, as host:port"},
		{"host", s.Host, "name the machine's address"},
		{"store", s.Store, "name the address of the store, as host:port"},
	}
	for _, field := range required {
		if field.value == "" {
			return errkind.New(errkind.InvalidSettings, "%s: %q is empty: %s", field.path, field.value, field.remedy)
		}
	}
	bounds := []struct {
		path             string
		value, low, high float64
	}{
		{"peer_port", float64(s.PeerPort), 1, maxPort},
		{"stop_grace_ms", float64(s.StopGrace), 100, 600_000},
		{"contact_ms", float64(s.StoreRecoveryWindow), 1, 600_000},
		{"configuration_bound_ms", float64(s.ConfigurationBound), 100, 600_000},
		{"cores", s.Cores, 0, 1024},
		{"link_mbps", s.LinkMbps, 0, 10_000_000},
		{"retry_ratio", s.RetryRatio, 0, 10},
		{"retry_window_s", s.RetryWindow, 0.1, 3600},
		{"retry_slack", s.RetrySlack, 0, 1_000_000},
		{"quota_window_s", s.QuotaWindow, 0.1, 3600},
		{"quota_overage", s.QuotaOverage, 0, 10},
		{"quota_slack", s.QuotaSlack, 0, 1e12},
		{"rollout_share", s.RolloutShare, 0, 1},
		{"rollout_slack", s.RolloutSlack, 0, 1_000_000},
		{"cold_overage", s.SlowStartOverage, 0, 1000},
		{"cold_slack", s.SlowStartSlack, 0, 1_000_000},
		{"barred_after_ends", float64(s.BlockedAfter), 0, poisonrecords.MaxIncarnations},
	}
	for _, field := range bounds {
		if field.value < field.low || field.value > field.high {
			return errkind.New(errkind.InvalidSettings, "%s: %v is not in %v to %v", field.path, field.value, field.low, field.high)
		}
	}
	if s.MemoryLimitMB != 0 && s.MemoryLimitMB < minMemoryMB {
		return errkind.New(errkind.InvalidSettings, "memory_mb: %d is less than %d; leave it out for no limit", s.MemoryLimitMB, minMemoryMB)
	}
	return nil
}

// ratioPart is the part of the allowed ratio that is used. The rest covers repeats that were given
// shortly before a window begins and arrive in it: a connect takes 300 ms at most, which is 3 in
// 100 of a window of ten seconds.
const retryRatioShare = 0.9

func (s *Settings) retryPolicy(share float64) retrybudget.Policy {
	return retrybudget.Policy{
		Ratio: s.RetryRatio * retryRatioShare, Slack: s.RetrySlack * share,
		Window: time.Duration(s.RetryWindow * float64(time.Second)),
	}
}

// usedTolerance is the part of what a tenant may take at most in a window that its
// bucket hands out, and debtTolerance the part by which one request may overdraw it. The
// rest is for scheduling nodes that take over from each other and for requests larger
// than the burst.
const (
	quotaBucketShare = 0.9
	quotaDebtShare   = 0.05
)

// quotaLimit returns what is handed out for a quota. The users allow some more
// than the quota in a window. That goes into the rate and not on top of the burst:
// a tenant that asks for too much all the time gets its quota in whole, although
// the bucket here and the users' count differ by which requests they take.
func (s *Settings) quotaLimit(rate, burst float64) quota.Limit {
	allowed := (rate*s.QuotaWindow+burst)*(1+s.QuotaOverage) + s.QuotaSlack
	return quota.Limit{
		Rate:  max((allowed*quotaBucketShare-burst)/s.QuotaWindow, rate),
		Burst: burst,
		Debt:  allowed * quotaDebtShare,
	}
}

func (s *Settings) rolloutPolicy() rollout.Policy {
	return rollout.Policy{Share: s.RolloutShare, Slack: s.RolloutSlack}
}

// warmings returns what cold replicas get of each service. Where the settings bound nothing, or a
// service's replicas are never cold, that is not bounded.
func (s *Settings) slowStarts(services []catalog.Service) map[string]admission.SlowStart {
	warmings := make(map[string]admission.SlowStart, len(services))
	for _, service := range services {
		allowed := service.SlowStartRate*s.SlowStartOverage + s.SlowStartSlack
		if service.SlowStartRate <= 0 || s.SlowStartOverage <= 0 {
			allowed = 0
		}
		warmings[service.Name] = admission.NewSlowStart(allowed, service.WarmupTime)
	}
	return warmings
}

func (s *Settings) poisonPolicy() poison.Policy {
	policy := poison.DefaultPolicy()
	policy.CrashThreshold = s.BlockedAfter
	return policy
}

func (s *Settings) stopGrace() time.Duration { return time.Duration(s.StopGrace) * time.Millisecond }

// behindLimit is how long a node goes on serving by its configuration after it heard of
// a newer one.
func (s *Settings) maxBehindTime() time.Duration {
	return time.Duration(maxBehindShare * float64(s.ConfigurationBound) * float64(time.Millisecond))
}

func (s *Settings) storeRecoveryWindow() time.Duration {
	return time.Duration(s.StoreRecoveryWindow) * time.Millisecond
}
