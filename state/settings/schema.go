package settings

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a key's value.
type Type string

const (
	TypeDuration Type = "duration"
	TypeInteger  Type = "integer"
	TypeNumber   Type = "number"
	TypeBoolean  Type = "boolean"
	TypeText     Type = "text"
	TypeList     Type = "list"
)

// Spec describes a key of the schema.
type Spec struct {
	Key  string
	Type Type
	// Min and Max are the inclusive bounds of a number, or of a duration in
	// seconds. If both are zero there are no bounds.
	Min, Max float64
	Default  string
	Help     string
	// assign stores a parsed value in its field of Values.
	assign func(*Values, parsedValue)
}

// parsedValue is a parsed setting. Besides text only the field of the key's type is
// set; number holds integers too.
type parsedValue struct {
	duration time.Duration
	number   float64
	boolean  bool
	text     string
	list     []string
}

// Values holds the values of all keys at one path after inheritance. The keys' Help
// describes the fields; rates are per second.
type Values struct {
	Rank              int
	AgingLimit        time.Duration
	Tier              string
	Service           string
	Model             string
	Adapter           string
	Deadline          time.Duration
	MaxTokens         int
	Repeatable        bool
	KeyHash           string
	Weight            float64
	Rate              float64
	Burst             float64
	Concurrency       int
	MaxBodyBytes      int
	QueueLimit        int
	AnswerRetention   time.Duration
	AnswerLimitBytes  int
	RegistryLimit     int
	ClaimRetention    time.Duration
	ClaimShards       int
	ClaimBatchWindow  time.Duration
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	DeadAfter         time.Duration
	PollInterval      time.Duration
	HoldAhead         time.Duration
	SampleSize        int
	FloorHold         time.Duration
	Overflow          bool
	OverflowZones     []string
	Replicas          int
	DrainTimeout      time.Duration
	WeightReadRate    float64
	Closed            []string
}

var schema = []Spec{
	{Key: "rank", Type: TypeInteger, Min: 0, Max: 15, Default: "0", Help: "order of a tier: 0 is served first and shed last", assign: func(v *Values, p parsedValue) { v.Rank = int(p.number) }},
	{Key: "aging_limit", Type: TypeDuration, Min: 0, Max: 600, Default: "5s", Help: "waiting time after which a request goes ahead of its tenant's fair share inside its tier", assign: func(v *Values, p parsedValue) { v.AgingLimit = p.duration }},
	{Key: "tier", Type: TypeText, Default: "", Help: "tier of the route's requests", assign: func(v *Values, p parsedValue) { v.Tier = p.text }},
	{Key: "service", Type: TypeText, Default: "", Help: "service that answers the route", assign: func(v *Values, p parsedValue) { v.Service = p.text }},
	{Key: "model", Type: TypeText, Default: "", Help: "model that the route asks its engines for; empty for plain services", assign: func(v *Values, p parsedValue) { v.Model = p.text }},
	{Key: "adapter", Type: TypeText, Default: "", Help: "adapter of the model; empty for none", assign: func(v *Values, p parsedValue) { v.Adapter = p.text }},
	{Key: "deadline", Type: TypeDuration, Min: 0.05, Max: 3600, Default: "20s", Help: "agreed waiting time of a request, from arrival to the whole answer", assign: func(v *Values, p parsedValue) { v.Deadline = p.duration }},
	{Key: "max_tokens", Type: TypeInteger, Min: 1, Max: 131072, Default: "1024", Help: "largest answer in tokens", assign: func(v *Values, p parsedValue) { v.MaxTokens = int(p.number) }},
	{Key: "repeatable", Type: TypeBoolean, Default: "true", Help: "false: a second execution would do harm; such requests need a key and a claim, or a ticket", assign: func(v *Values, p parsedValue) { v.Repeatable = p.boolean }},
	{Key: "key_hash", Type: TypeText, Default: "", Help: "SHA-256 of the tenant's bearer key, as 64 hexadecimal digits", assign: func(v *Values, p parsedValue) { v.KeyHash = p.text }},
	{Key: "weight", Type: TypeNumber, Min: 0.01, Max: 1000, Default: "1", Help: "tenant's share inside a tier", assign: func(v *Values, p parsedValue) { v.Weight = p.number }},
	{Key: "rate", Type: TypeNumber, Min: 0, Max: 100000, Default: "0", Help: "requests a second of the tenant in a zone; 0 means no limit", assign: func(v *Values, p parsedValue) { v.Rate = p.number }},
	{Key: "burst", Type: TypeNumber, Min: 1, Max: 100000, Default: "20", Help: "requests that may arrive at once under the rate limit", assign: func(v *Values, p parsedValue) { v.Burst = p.number }},
	{Key: "concurrency", Type: TypeInteger, Min: 0, Max: 100000, Default: "0", Help: "requests of the tenant in a zone that may be open at once; 0 means no limit", assign: func(v *Values, p parsedValue) { v.Concurrency = int(p.number) }},
	{Key: "max_body_bytes", Type: TypeInteger, Min: 1024, Max: 64 << 20, Default: "4194304", Help: "largest request body", assign: func(v *Values, p parsedValue) { v.MaxBodyBytes = int(p.number) }},
	{Key: "queue_limit", Type: TypeInteger, Min: 1, Max: 100000, Default: "2000", Help: "requests of one tier that may wait at a node", assign: func(v *Values, p parsedValue) { v.QueueLimit = int(p.number) }},
	{Key: "answer_retention", Type: TypeDuration, Min: 1, Max: 3600, Default: "60s", Help: "time that an answer can be looked up", assign: func(v *Values, p parsedValue) { v.AnswerRetention = p.duration }},
	{Key: "answer_limit_bytes", Type: TypeInteger, Min: 1024, Max: 64 << 20, Default: "8388608", Help: "memory for kept answers at a node", assign: func(v *Values, p parsedValue) { v.AnswerLimitBytes = int(p.number) }},
	{Key: "registry_limit", Type: TypeInteger, Min: 100, Max: 1000000, Default: "20000", Help: "keys that a node remembers as owner or backup", assign: func(v *Values, p parsedValue) { v.RegistryLimit = int(p.number) }},
	{Key: "claim_retention", Type: TypeDuration, Min: 60, Max: 7 * 86400, Default: "1h", Help: "age after which a claim with a dated key is removed and the key is refused", assign: func(v *Values, p parsedValue) { v.ClaimRetention = p.duration }},
	{Key: "claim_shards", Type: TypeInteger, Min: 1, Max: 1024, Default: "2", Help: "pages of claims in the platform's store for each second of keys; change it only while no key is younger than claim_retention", assign: func(v *Values, p parsedValue) { v.ClaimShards = int(p.number) }},
	{Key: "claim_batch_window", Type: TypeDuration, Min: 0, Max: 1, Default: "30ms", Help: "time that claims wait to be committed together", assign: func(v *Values, p parsedValue) { v.ClaimBatchWindow = p.duration }},
	{Key: "heartbeat_interval", Type: TypeDuration, Min: 0.02, Max: 10, Default: "200ms", Help: "time between heartbeats of a node", assign: func(v *Values, p parsedValue) { v.HeartbeatInterval = p.duration }},
	{Key: "suspect_after", Type: TypeDuration, Min: 0.05, Max: 60, Default: "800ms", Help: "silence after which a node is suspected", assign: func(v *Values, p parsedValue) { v.SuspectAfter = p.duration }},
	{Key: "dead_after", Type: TypeDuration, Min: 0.1, Max: 120, Default: "2s", Help: "silence after which a node is taken for dead", assign: func(v *Values, p parsedValue) { v.DeadAfter = p.duration }},
	{Key: "poll_interval", Type: TypeDuration, Min: 0.02, Max: 10, Default: "100ms", Help: "time between load reports taken from a replica", assign: func(v *Values, p parsedValue) { v.PollInterval = p.duration }},
	{Key: "hold_ahead", Type: TypeDuration, Min: 0, Max: 60, Default: "60ms", Help: "work that may be queued inside an engine; more waits at the node", assign: func(v *Values, p parsedValue) { v.HoldAhead = p.duration }},
	{Key: "sample_size", Type: TypeInteger, Min: 1, Max: 64, Default: "8", Help: "replicas sampled for a decision beside the prefix homes", assign: func(v *Values, p parsedValue) { v.SampleSize = int(p.number) }},
	{Key: "floor_hold", Type: TypeDuration, Min: 0.1, Max: 60, Default: "1s", Help: "time without demand after which the shed floor is lowered", assign: func(v *Values, p parsedValue) { v.FloorHold = p.duration }},
	{Key: "overflow", Type: TypeBoolean, Default: "false", Help: "whether requests may go to replicas of overflow_zones", assign: func(v *Values, p parsedValue) { v.Overflow = p.boolean }},
	{Key: "overflow_zones", Type: TypeList, Default: "", Help: "zones whose replicas take overflow, nearest first", assign: func(v *Values, p parsedValue) { v.OverflowZones = p.list }},
	{Key: "replicas", Type: TypeInteger, Min: 0, Max: 10000, Default: "0", Help: "engines of a zone that should hold the model of services/<service>/models/<model>", assign: func(v *Values, p parsedValue) { v.Replicas = int(p.number) }},
	{Key: "drain_timeout", Type: TypeDuration, Min: 0, Max: 3600, Default: "120s", Help: "longest planned stop of a node", assign: func(v *Values, p parsedValue) { v.DrainTimeout = p.duration }},
	{Key: "weight_read_rate", Type: TypeNumber, Min: 0.001, Max: 1000, Default: "0.5", Help: "model loads a second that a zone may order from the weight store", assign: func(v *Values, p parsedValue) { v.WeightReadRate = p.number }},
	{Key: "closed", Type: TypeList, Default: "", Help: "replicas of a service that take no new work", assign: func(v *Values, p parsedValue) { v.Closed = p.list }},
}

var schemaByKey = indexSchemaByKey()

func indexSchemaByKey() map[string]*Spec {
	index := make(map[string]*Spec, len(schema))
	for i := range schema {
		index[schema[i].Key] = &schema[i]
	}
	return index
}

// Schema returns a copy of the specs of all keys, ordered by key.
func Schema() []Spec {
	specs := append([]Spec(nil), schema...)
	sort.Slice(specs, func(i, j int) bool { return specs[i].Key < specs[j].Key })
	return specs
}

// parse parses text by the type of the key and checks the bounds. The error names the
// value and the bounds or the expected form.
func (s *Spec) parse(text string) (parsedValue, error) {
	value := parsedValue{text: text}
	var err error
	switch s.Type {
	case TypeDuration:
		value.duration, err = time.ParseDuration(text)
		if err != nil {
			return value, fmt.Errorf("%q is not a duration: write a number with a unit, such as 250ms or 20s", text)
		}
		return value, s.checkBounds(value.duration.Seconds(), "s")
	case TypeInteger:
		number, convertError := strconv.Atoi(text)
		if convertError != nil {
			return value, fmt.Errorf("%q is not a whole number", text)
		}
		value.number = float64(number)
		return value, s.checkBounds(value.number, "")
	case TypeNumber:
		value.number, err = strconv.ParseFloat(text, 64)
		if err != nil || value.number != value.number {
			return value, fmt.Errorf("%q is not a number", text)
		}
		return value, s.checkBounds(value.number, "")
	case TypeBoolean:
		value.boolean, err = strconv.ParseBool(text)
		if err != nil {
			return value, fmt.Errorf("%q is not a boolean: write true or false", text)
		}
	case TypeList:
		value.list = splitList(text)
	}
	return value, nil
}

func (s *Spec) checkBounds(number float64, unit string) error {
	if s.Min == 0 && s.Max == 0 {
		return nil
	}
	if number < s.Min || number > s.Max {
		return fmt.Errorf("%v%s is outside %v%s to %v%s: choose a value in that range", number, unit, s.Min, unit, s.Max, unit)
	}
	return nil
}

func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	elements := strings.Split(text, ",")
	for i := range elements {
		elements[i] = strings.TrimSpace(elements[i])
	}
	return elements
}

// Range returns the allowed range as text, or "any".
func (s Spec) Range() string {
	if s.Min == 0 && s.Max == 0 {
		return "any"
	}
	unit := ""
	if s.Type == TypeDuration {
		unit = "s"
	}
	return fmt.Sprintf("%v%s to %v%s", s.Min, unit, s.Max, unit)
}
