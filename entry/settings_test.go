package entry

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/memorybudget"
)

// renderTemplate renders the deployment's settings template, for the few forms that it uses.
func renderTemplate(t testing.TB, values map[string]string) string {
	template, err := os.ReadFile("../deploy/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	content := strings.ReplaceAll(string(template), "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", values["seeds"])
	content = strings.ReplaceAll(content, "{{#zones}}\"{{@}}\": {{.|json}}{{,}}{{/zones}}", values["zones"])
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`).ReplaceAllStringFunc(content, func(placeholder string) string {
		parts := strings.Split(strings.Trim(placeholder, "{}"), "|")
		value := values[parts[0]]
		if len(parts) > 1 {
			return `"` + value + `"`
		}
		return value
	})
}

// templateValues returns valid values for the template.
func templateValues() map[string]string {
	return map[string]string{
		"node_name": "edge-1", "zone": "z", "zones": `"z": "r", "y": "r"`, "listen.front": "10.0.0.1:80", "listen.readiness": "10.0.0.1:81", "listen.control": "10.0.0.1:82",
		"ip": "10.0.0.1", "internal_ports.0": "7600", "seeds": `"10.0.0.1:82","10.0.0.2:82"`, "platform.address": "10.9.9.9:83",
		"bounds.grace_s": "8", "bounds.contact_ms": "3000", "limits.memory_mb": "134", "limits.cpu_share": "0.4", "limits.link_mbps": "1000",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "58",
		"bounds.quota_window_s": "8", "bounds.quota_overage": "0.1", "bounds.quota_slack": "72000", "bootstrap": "true",
	}
}

// Guards against a deployment template that renders settings which the node rejects.
func TestTemplateRendersValidSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	settings, err := ParseSettings([]byte(renderTemplate(t, templateValues())))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(settings.Seeds).To(gomega.Equal([]string{"10.0.0.1:82", "10.0.0.2:82"}))
	g.Expect(settings.Regions).To(gomega.Equal(map[string]string{"z": "r", "y": "r"}))
	g.Expect(settings.StopGrace).To(gomega.Equal(8000))
	g.Expect(settings.QuotaSlack).To(gomega.Equal(72000.0))
	g.Expect(settings.FirstStart).To(gomega.BeTrue())
}

// requiredSettings are settings without any that have a default.
const requiredSettings = "name: n\nzone: z\ncallers: 'h:1'\nreadiness: 'h:2'\noperators: 'h:3'\nhost: h\npeer_port: 4\nstore: 'h:5'\n"

// Guards against new scheduling decisions in a deployment whose settings do not ask for them.
func TestSchedulingPolicyIsOffByDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, empty := range []string{"", "tenant_shares: \nqueue_order: \nplanned_returns: \nslot_handover_ms: \n"} {
		settings, err := ParseSettings([]byte(requiredSettings + empty))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(settings.schedulingPolicy()).To(gomega.Equal(schedulingPolicy{}))
	}
}

// Guards against settings of the scheduling policy that are misspelled and silently off.
func TestInvalidSchedulingPolicyIsRejected(t *testing.T) {
	for line, message := range map[string]string{
		"tenant_shares: weighted": `tenant_shares: "weighted" is not one of off, equal, quota`,
		"queue_order: fifo":       `queue_order: "fifo" is not one of target, feasible`,
		"slot_handover_ms: -1":    "slot_handover_ms: -1 is not in 0 to 1000",
	} {
		_, err := ParseSettings([]byte(requiredSettings + line))
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(message)))
	}
}

// Guards against a node that fails to start because of settings for a later version.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ParseSettings([]byte(renderTemplate(t, templateValues()) + "new_field: [1, 2]\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against settings errors that do not say which field to correct.
func TestInvalidSettingsErrorNamesFieldValueAndRemedy(t *testing.T) {
	for _, invalid := range []struct{ field, value, message string }{
		{"node_name", "", `name: "" is empty: give each node a name of its own`},
		{"platform.address", "", `store: "" is empty`},
		{"internal_ports.0", "0", "peer_port: 0 is not in 1 to 65535"},
		{"limits.memory_mb", "8", "memory_mb: 8 is less than 32"},
		{"bounds.retry_budget_ratio", "-1", "retry_ratio: -1 is not in 0 to 10"},
		{"bounds.contact_ms", "soon", "contact_ms"},
	} {
		t.Run(invalid.field, func(t *testing.T) {
			values := templateValues()
			values[invalid.field] = invalid.value
			_, err := ParseSettings([]byte(renderTemplate(t, values)))
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(invalid.message)))
		})
	}
}

// FuzzSettings renders values into the template: they are either rejected with an error or give
// valid settings, and never crash the process.
func FuzzSettings(f *testing.F) {
	f.Add("edge-1", "7600", "8")
	f.Add("{", "-1", "9e99")
	f.Add("\": x", "[", "*a")
	f.Fuzz(func(t *testing.T, name, port, grace string) {
		values := templateValues()
		values["node_name"], values["internal_ports.0"], values["bounds.grace_s"] = name, port, grace
		settings, err := ParseSettings([]byte(renderTemplate(t, values)))
		if err == nil && (settings.Name == "" || settings.PeerPort < 1) {
			t.Fatalf("accepted %+v", settings)
		}
	})
}

// FuzzEvents cuts a stream into parts: complete events are forwarded in order, and the remaining bytes, in which no
// event ends, stay in the buffer.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 7)
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2", 3)
	f.Add(strings.Repeat("x", 3*maxKeptBufferBytes)+"\r\n\r\ny", 1000)
	f.Fuzz(func(t *testing.T, text string, partBytes int) {
		partBytes = max(1, min(partBytes, len(text)))
		c, count := &call{}, 0
		var forwarded []byte
		var order eventOrder
		budget := memorybudget.New(0)
		buffer := eventBuffer{memory: budget.Open(func() {})}
		for part := range slices.Chunk([]byte(text), partBytes) {
			if err := buffer.add(part); err != nil {
				t.Fatal(err)
			}
			events := buffer.completeEvents()
			if len(events) == 0 {
				continue
			}
			fresh, err := c.unsentEvents(events, &count, &order)
			forwarded = append(forwarded, fresh...)
			if err != nil { // an ID is too long or does not rise
				if !strings.HasPrefix(text, string(forwarded)) || !strings.HasSuffix(string(forwarded), "\n") && len(forwarded) > 0 {
					t.Fatalf("%q of %q before %v", forwarded, text, err)
				}
				return
			}
			buffer.discard(len(events))
		}
		if string(forwarded)+string(buffer.content) != text {
			t.Fatalf("%q and %q of %q", forwarded, buffer.content, text)
		}
		if completeEventsLength(buffer.content) > 0 {
			t.Fatalf("an event ends in %q", buffer.content)
		}
		if held, _ := budget.Held(); held > copiesOfEvents*2*int64(len(text)+freeHeldBytes) {
			t.Fatalf("%d bytes are held of %d", held, len(text))
		}
	})
}

// Guards against a token bucket that grants more in a window than the quota's limits allow, with
// a reserve for scheduling nodes that take over.
func TestQuotaLimitStaysUnderTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	settings := &Settings{QuotaWindow: 8, QuotaOverage: 0.1, QuotaSlack: 72000}
	for _, rate := range []float64{100, 6000, 60000} {
		limit := settings.quotaLimit(rate, rate)
		allowed := (rate*8+rate)*1.1 + 72000
		g.Expect(limit.Burst + limit.Rate*8 + limit.Debt).To(gomega.BeNumerically("<=", allowed*0.975))
		g.Expect(limit.Rate).To(gomega.BeNumerically(">=", rate*1.1))
	}
	strict := &Settings{QuotaWindow: 8}
	g.Expect(strict.quotaLimit(60, 60).Rate).To(gomega.BeNumerically(">=", 60), "the rate is at least the quota")
}
