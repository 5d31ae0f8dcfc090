package entry

import (
	"cmp"
	"os"
	"slices"
	"strings"
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

// Settings are the contents of a node's settings file. Unknown fields are ignored.
type Settings struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Regions maps each zone to its region.
	Regions map[string]string `yaml:"regions"`
	// Callers, Readiness and Operators are the addresses to listen on.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Operators string `yaml:"operators"`
	// Host is the machine's address and PeerPort the port for peers, by TCP and UDP.
	Host     string `yaml:"host"`
	PeerPort int    `yaml:"peer_port"`
	// Seeds are addresses of some nodes; only the host part is used.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the store that holds the directory.
	Store string `yaml:"store"`
	// StopGrace is the time from a stop request until the process is killed, in milliseconds.
	StopGrace int `yaml:"stop_grace_ms"`
	// StoreRecoveryWindow is how long a peer must have watched the store without failures for
	// this node to regard the store as healthy, in milliseconds.
	StoreRecoveryWindow int `yaml:"contact_ms"`
	// ConfigurationBound is the time within which an accepted configuration must be active on
	// all nodes, in milliseconds.
	ConfigurationBound int `yaml:"configuration_bound_ms"`
	// MemoryLimitMB is the memory limit of the process in megabytes; zero means none.
	MemoryLimitMB int `yaml:"memory_mb"`
	// BufferMB bounds what requests and answers hold together, in megabytes; zero means a sixth of MemoryLimitMB.
	BufferMB int `yaml:"buffer_mb"`
	// AnswerHeaderBytes, AnswerHeaderLines and AnswerHeaderTimeout (milliseconds from its first bytes) bound the head of
	// a replica's answer, AnswerBodyBytes the body of a plain answer and AnswerEventBytes one event of a stream. Zero
	// means the built-in limit.
	AnswerHeaderBytes   int `yaml:"answer_header_bytes"`
	AnswerHeaderLines   int `yaml:"answer_header_lines"`
	AnswerHeaderTimeout int `yaml:"answer_header_timeout_ms"`
	AnswerBodyBytes     int `yaml:"answer_body_bytes"`
	AnswerEventBytes    int `yaml:"answer_event_bytes"`
	// Cores is the number of processors that the process may use; nodes with more are preferred
	// for scheduling.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the machine's bandwidth in megabits per second; nodes with a wide link are
	// preferred for watching the store. Zero means that it is not known.
	LinkMbps float64 `yaml:"link_mbps"`
	// RetryRatio, RetryWindow (seconds) and RetrySlack (retries) bound retries.
	RetryRatio  float64 `yaml:"retry_ratio"`
	RetryWindow float64 `yaml:"retry_window_s"`
	RetrySlack  float64 `yaml:"retry_slack"`
	// QuotaOverage (a share) and QuotaSlack (units) are how much more than a tenant's quota may
	// be granted in QuotaWindow (seconds). A part of them is used, so that no tenant below its
	// quota is rejected.
	QuotaWindow  float64 `yaml:"quota_window_s"`
	QuotaOverage float64 `yaml:"quota_overage"`
	QuotaSlack   float64 `yaml:"quota_slack"`
	// RolloutShare (a share of a service's requests) and RolloutSlack (requests) bound the
	// canary requests that a new version gets until it is judged.
	RolloutShare float64 `yaml:"rollout_share"`
	RolloutSlack float64 `yaml:"rollout_slack"`
	// SlowStartOverage (a factor) and SlowStartSlack (requests) are applied to a service's slow
	// start rate and bound the requests of a cold replica in any second; a zero SlowStartOverage
	// means no bound.
	SlowStartOverage float64 `yaml:"cold_overage"`
	SlowStartSlack   float64 `yaml:"cold_slack"`
	// BlockedAfter is the number of replica crashes after which a request is blocked; zero
	// disables blocking.
	BlockedAfter int `yaml:"barred_after_ends"`
	// TenantShares selects how tenants of equal priority share a service that is full.
	TenantShares TenantShares `yaml:"tenant_shares"`
	// QueueOrder selects the order of queued requests.
	QueueOrder QueueOrder `yaml:"queue_order"`
	// PlannedReturns spreads the Retry-After of rejected requests over the time in which slots are
	// expected, and lets callers that come back when told go ahead of new ones.
	PlannedReturns bool `yaml:"planned_returns"`
	// SlotHandover is the time from the end of a response to the start of the next request in its slot, in
	// milliseconds; see admission.Policy. Zero means the built-in time.
	SlotHandover float64 `yaml:"slot_handover_ms"`
	// FirstStart is true at the first start of the whole system.
	FirstStart bool `yaml:"first_start"`
}

// processIdentity are the settings by which others know a running process, and the addresses that it uses.
type processIdentity struct {
	name, callers, readiness, operators, host, store string
	peerPort                                         int
}

func (s *Settings) identity() *processIdentity {
	return &processIdentity{s.Name, s.Callers, s.Readiness, s.Operators, s.Host, s.Store, s.PeerPort}
}

// withIdentityOf returns the settings with the name and the addresses of the current ones. Under another name the
// scheduling node would take the process for one that has ended and give its slots to others.
func (s *Settings) withIdentityOf(current *Settings) *Settings {
	kept := *s
	kept.Name, kept.Callers, kept.Readiness, kept.Operators = current.Name, current.Callers, current.Readiness, current.Operators
	kept.Host, kept.Store, kept.PeerPort = current.Host, current.Store, current.PeerPort
	return &kept
}

// TenantShares is how tenants of equal priority share a service that is full.
type TenantShares string

const (
	// SharesOff queues requests without regard to their tenant.
	SharesOff TenantShares = "off"
	// SharesEqual gives all tenants equal shares.
	SharesEqual TenantShares = "equal"
	// SharesByQuota gives tenants shares in proportion to their quota.
	SharesByQuota TenantShares = "quota"
)

// QueueOrder is the order of the queued requests of equal priority.
type QueueOrder string

const (
	// OrderByTarget puts the earliest target first among requests with answers of equal length.
	OrderByTarget QueueOrder = "target"
	// OrderFeasible puts requests first that can still meet their target by their expected finish.
	OrderFeasible QueueOrder = "feasible"
)

// LoadSettings reads and checks the settings file. Its errors are of kind InvalidSettings and name
// the field, the value and the remedy.
func LoadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "settings file: %v", err)
	}
	return ParseSettings(content)
}

// ParseSettings parses and checks the content of a settings file. Its errors are like those of
// LoadSettings; after a failed check the settings are returned too.
func ParseSettings(content []byte) (*Settings, error) {
	settings := &Settings{StopGrace: 8000, StoreRecoveryWindow: 3000, ConfigurationBound: 2000, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 20, QuotaWindow: 10, BlockedAfter: poison.DefaultPolicy().CrashThreshold, TenantShares: SharesOff, QueueOrder: OrderByTarget}
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
		{"zone", s.Zone, "name the machine's zone"},
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
	if err := s.checkChoices(); err != nil {
		return err
	}
	bounds := []struct {
		path                      string
		value, minValue, maxValue float64
	}{
		{"peer_port", float64(s.PeerPort), 1, maxPort},
		{"stop_grace_ms", float64(s.StopGrace), 100, 600_000},
		{"contact_ms", float64(s.StoreRecoveryWindow), 1, 600_000},
		{"configuration_bound_ms", float64(s.ConfigurationBound), 100, 600_000},
		{"buffer_mb", float64(s.BufferMB), 0, 1 << 20},
		{"answer_header_bytes", float64(s.AnswerHeaderBytes), 0, 1 << 20},
		{"answer_header_lines", float64(s.AnswerHeaderLines), 0, 10_000},
		{"answer_header_timeout_ms", float64(s.AnswerHeaderTimeout), 0, 600_000},
		{"answer_body_bytes", float64(s.AnswerBodyBytes), 0, 1 << 30},
		{"answer_event_bytes", float64(s.AnswerEventBytes), 0, 1 << 30},
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
		{"slot_handover_ms", s.SlotHandover, 0, 1000},
		{"barred_after_ends", float64(s.BlockedAfter), 0, poisonrecords.MaxIncarnations},
	}
	for _, field := range bounds {
		if field.value < field.minValue || field.value > field.maxValue {
			return errkind.New(errkind.InvalidSettings, "%s: %v is not in %v to %v", field.path, field.value, field.minValue, field.maxValue)
		}
	}
	if s.MemoryLimitMB != 0 && s.MemoryLimitMB < minMemoryMB {
		return errkind.New(errkind.InvalidSettings, "memory_mb: %d is less than %d; leave it out for no limit", s.MemoryLimitMB, minMemoryMB)
	}
	return nil
}

// checkChoices checks the settings that are one of a few words. Empty ones have their default, as the
// platform renders fields that it does not have as nothing.
func (s *Settings) checkChoices() error {
	s.TenantShares, s.QueueOrder = cmp.Or(s.TenantShares, SharesOff), cmp.Or(s.QueueOrder, OrderByTarget)
	choices := []struct {
		path, value string
		valid       []string
	}{
		{"tenant_shares", string(s.TenantShares), []string{string(SharesOff), string(SharesEqual), string(SharesByQuota)}},
		{"queue_order", string(s.QueueOrder), []string{string(OrderByTarget), string(OrderFeasible)}},
	}
	for _, choice := range choices {
		if !slices.Contains(choice.valid, choice.value) {
			return errkind.New(errkind.InvalidSettings, "%s: %q is not one of %s", choice.path, choice.value, strings.Join(choice.valid, ", "))
		}
	}
	return nil
}

// retryRatioShare is the share of the allowed ratio that is used. The rest covers retries that
// were permitted shortly before a window begins and sent in it: a connect takes 300 ms at most, 3 % of a window
// of ten seconds.
const retryRatioShare = 0.9

// retryPolicy returns the retry budget of a node with the share of the slack.
func (s *Settings) retryPolicy(share float64) retrybudget.Policy {
	return retrybudget.Policy{
		Ratio: s.RetryRatio * retryRatioShare, Slack: s.RetrySlack * share,
		Window: time.Duration(s.RetryWindow * float64(time.Second)),
	}
}

// quotaBucketShare is the share of what a tenant may use at most in a window that its token bucket
// grants, and quotaDebtShare the share by which one request may overdraw the bucket. The rest covers
// scheduling nodes that take over from each other and requests larger than the burst.
const (
	quotaBucketShare = 0.9
	quotaDebtShare   = 0.05
)

// quotaLimit returns the limit of a tenant's token bucket. The allowed overage raises the rate and
// not the burst, so that a tenant that always exceeds its quota still gets all of it.
func (s *Settings) quotaLimit(rate, burst float64) quota.Limit {
	allowed := (rate*s.QuotaWindow+burst)*(1+s.QuotaOverage) + s.QuotaSlack
	return quota.Limit{
		Rate:  max((allowed*quotaBucketShare-burst)/s.QuotaWindow, rate),
		Burst: burst,
		Debt:  allowed * quotaDebtShare,
	}
}

// rolloutPolicy returns the bounds of canary requests.
func (s *Settings) rolloutPolicy() rollout.Policy {
	return rollout.Policy{Share: s.RolloutShare, Slack: s.RolloutSlack}
}

// slowStarts returns the limit of cold replicas by service. It is unlimited where the settings or
// the service have no slow start rate.
func (s *Settings) slowStarts(services []catalog.Service) map[string]admission.SlowStart {
	limits := make(map[string]admission.SlowStart, len(services))
	for _, service := range services {
		allowed := service.SlowStartRate*s.SlowStartOverage + s.SlowStartSlack
		if service.SlowStartRate <= 0 || s.SlowStartOverage <= 0 {
			allowed = 0
		}
		limits[service.Name] = admission.NewSlowStart(allowed, service.WarmupTime)
	}
	return limits
}

// poisonPolicy returns the policy for blocking poison requests.
func (s *Settings) poisonPolicy() poison.Policy {
	policy := poison.DefaultPolicy()
	policy.CrashThreshold = s.BlockedAfter
	return policy
}

const (
	// bufferShare is the share of the memory limit that requests and answers may hold together.
	bufferShare = 1.0 / 6
	// defaultBufferMB applies without a memory limit.
	defaultBufferMB = 256
)

// bufferBytes returns what requests and answers may hold together.
func (s *Settings) bufferBytes() int64 {
	switch {
	case s.BufferMB > 0:
		return int64(s.BufferMB) << 20
	case s.MemoryLimitMB > 0:
		return int64(float64(s.MemoryLimitMB) * bufferShare * (1 << 20))
	}
	return defaultBufferMB << 20
}

// receivedFrameShare is the share of the memory limit that frames of peers may hold until they are handled.
const receivedFrameShare = 1.0 / 8

// receivedFrameBytes returns what frames of peers may hold together until they are handled.
func (s *Settings) receivedFrameBytes() int64 {
	if s.MemoryLimitMB == 0 {
		return defaultBufferMB << 20
	}
	return int64(float64(s.MemoryLimitMB<<20) * receivedFrameShare)
}

// stopGrace returns StopGrace as a duration.
func (s *Settings) stopGrace() time.Duration { return time.Duration(s.StopGrace) * time.Millisecond }

// maxBehindTime returns how long a node serves requests by its configuration after it learned of a
// newer one.
func (s *Settings) maxBehindTime() time.Duration {
	return time.Duration(maxBehindShare * float64(s.ConfigurationBound) * float64(time.Millisecond))
}

// storeRecoveryWindow returns StoreRecoveryWindow as a duration.
func (s *Settings) storeRecoveryWindow() time.Duration {
	return time.Duration(s.StoreRecoveryWindow) * time.Millisecond
}
