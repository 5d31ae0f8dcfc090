package openai

import (
	"testing"

	"github.com/onsi/gomega"
)

// Errors that do not name the field leave the caller without a way to correct it.
func TestParseRequestErrorsNameTheField(t *testing.T) {
	for name, c := range map[string]struct {
		body, wantError string
		chat            bool
	}{
		"no JSON":       {`{`, "does not parse", true},
		"invalid UTF-8": {"{\"model\":\"\xff\"}", "not UTF-8", true},
		"wrong type":    {`{"model":7}`, "model", true},
		"no model":      {`{"messages":[{"role":"user","content":"x"}]}`, "model is missing", true},
		"no messages":   {`{"model":"m"}`, "messages is missing", true},
		"no prompt":     {`{"model":"m"}`, "prompt is missing", false},
		"two choices":   {`{"model":"m","n":2,"prompt":"x"}`, "only one choice", false},
		"zero tokens":   {`{"model":"m","max_tokens":0,"prompt":"x"}`, "at least 1", false},
		"not an object": {`[]`, "does not parse", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseRequest([]byte(c.body), c.chat)
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.wantError)))
		})
	}
}

// Fields that this package does not know must reach the engine unchanged.
func TestEngineBodyKeepsUnknownFields(t *testing.T) {
	g := gomega.NewWithT(t)
	request, err := ParseRequest([]byte(`{"model":"route","prompt":"x","seed":5,"max_completion_tokens":9}`), false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := request.EngineBody("engine", 2, 4)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.MatchJSON(`{"model":"engine","prompt":"x","seed":5,"stream":true,"stream_options":{"include_usage":true},"priority":2,"max_tokens":4}`))
}

// Malformed bodies must not cause a panic.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x"}`), false)
	f.Fuzz(func(_ *testing.T, body []byte, chat bool) {
		request, err := ParseRequest(body, chat)
		if err == nil {
			_, _ = request.EngineBody("m", 0, 1)
		}
	})
}
