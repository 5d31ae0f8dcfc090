// Package documents generates configurations of any size for tests and measurements.
package documents

import (
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/state/catalog"
)

// Large returns a realistic configuration with the number of routes. The routes' names are scattered,
// so that they don't compress.
func Large(version int64, routes int) *catalog.Document {
	document := &catalog.Document{
		Version:  version,
		Services: []catalog.Service{{Name: "huvo11a", MaxConnections: 690, Engine: &catalog.Engine{Slots: 5, TokensPerEvent: 5, TokenCapacity: 247876, Moves: true, Backups: true}}, {Name: "wuno96b", MaxConnections: 560}},
		Tenants:  []catalog.Tenant{{Name: "hule930", Keys: []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"}, Priority: 1, HasPriority: true, Rate: 428698, Burst: 428698, CountTokens: true, DefaultTokens: 200}},
		Limits:   catalog.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for i := range routes {
		mixed := uint64(i+1) * goldenRatio
		document.Routes = append(document.Routes, catalog.Route{
			Name: "r-" + strconv.FormatUint(mixed>>29, 36), Host: "ficu95.example", PathPrefix: "/" + strconv.FormatUint(mixed>>20, 36) + "/", Kind: catalog.KindStreaming,
			Timeout: 6 * time.Second, TargetLatency: 800 * time.Millisecond, TargetEventGap: 400 * time.Millisecond,
			Backends: []catalog.WeightedService{{Service: "huvo11a", Weight: 90}, {Service: "wuno96b", Weight: 10}}, MaxAttempts: 1, Sticky: true,
		})
	}
	return document
}

// goldenRatio is 2^64 divided by the golden ratio; the bits of its multiples look random.
const goldenRatio = 0x9e3779b97f4a7c15
