package losses

import (
	"fmt"
	"io"
	"math"

	"github.com/goccy/go-yaml"
)

// Kind is a kind of request with the worth of its answers.
type Kind struct {
	Name string `yaml:"name"`
	// TargetMS is the target for the first event of a stream or for a plain answer. MaxPauseMS is the
	// longest permitted time between two events; zero for plain answers.
	TargetMS   int64 `yaml:"target_ms"`
	MaxPauseMS int64 `yaml:"pause_ms"`
	DeadlineMS int64 `yaml:"deadline_ms"`
	// Worth is the worth of a complete answer of mean size in time.
	Worth float64 `yaml:"worth"`
	// MeanPromptTokens and MeanAnswerTokens are the mean sizes of a request and its answer.
	MeanPromptTokens float64 `yaml:"prompt_tokens"`
	MeanAnswerTokens float64 `yaml:"answer_tokens"`
}

// ReadKinds reads the kinds of a deployment from YAML.
func ReadKinds(reader io.Reader) ([]Kind, error) {
	var file struct {
		Kinds []Kind `yaml:"kinds"`
	}
	if err := yaml.NewDecoder(reader).Decode(&file); err != nil {
		return nil, fmt.Errorf("read kinds: %w", err)
	}
	if len(file.Kinds) == 0 {
		return nil, fmt.Errorf("read kinds: the file contains no kinds")
	}
	return file.Kinds, nil
}

// Parameters of the worth by size: the share that doesn't depend on size, the weight of an answer token
// relative to a prompt token, and the maximum as a multiple of the kind's worth.
const (
	fixedShare        = 0.3
	answerTokenWeight = 10
	maxWorthFactor    = 4
)

// worth returns the worth of a request of the kind with the numbers of prompt and answer tokens.
func (k *Kind) worth(promptTokens, answerTokens int) float64 {
	mean := k.MeanPromptTokens + answerTokenWeight*k.MeanAnswerTokens
	if mean <= 0 {
		return k.Worth
	}
	size := float64(promptTokens+answerTokenWeight*answerTokens) / mean
	return k.Worth * min(fixedShare+(1-fixedShare)*size, maxWorthFactor)
}

// closestKind returns the kind whose deadline and mean prompt tokens are closest to those of a route,
// by the sum of the relative differences.
func closestKind(kinds []Kind, deadlineMS int64, promptTokens float64) *Kind {
	var closest *Kind
	minDifference := math.Inf(1)
	for i := range kinds {
		kind := &kinds[i]
		difference := math.Abs(float64(kind.DeadlineMS-deadlineMS))/float64(max(kind.DeadlineMS, 1)) +
			math.Abs(kind.MeanPromptTokens-promptTokens)/max(kind.MeanPromptTokens, promptTokens, 1)
		if difference < minDifference {
			closest, minDifference = kind, difference
		}
	}
	return closest
}
