package losses

import (
	"fmt"
	"io"
	"math"

	"github.com/goccy/go-yaml"
)

// Kind is one kind of request with what its answers are worth.
type Kind struct {
	Name string `yaml:"name"`
	// Target, Pause and Deadline are in milliseconds; Pause is zero for plain answers.
	Target   int64 `yaml:"target_ms"`
	Pause    int64 `yaml:"pause_ms"`
	Deadline int64 `yaml:"deadline_ms"`
	// Worth is that of a whole answer in time.
	Worth float64 `yaml:"worth"`
	// Prompt and Answer are the mean tokens of a request of the kind.
	Prompt float64 `yaml:"prompt_tokens"`
	Answer float64 `yaml:"answer_tokens"`
}

// ReadKinds reads the kinds of a deployment from YAML.
func ReadKinds(reader io.Reader) ([]Kind, error) {
	var file struct {
		Kinds []Kind `yaml:"kinds"`
	}
	if err := yaml.NewDecoder(reader).Decode(&file); err != nil {
		return nil, fmt.Errorf("kinds: %w", err)
	}
	if len(file.Kinds) == 0 {
		return nil, fmt.Errorf("kinds: the file names none")
	}
	return file.Kinds, nil
}

// Weights of a request by its size: the fixed part of its kind's worth, the weight of a
// token of the answer in tokens of the prompt, and the most that one may be worth.
const (
	fixedPart    = 0.3
	answerWeight = 10
	mostTimes    = 4
)

// worth returns what a request of the kind with so many tokens is worth.
func (k *Kind) worth(prompt, answer int) float64 {
	mean := k.Prompt + answerWeight*k.Answer
	if mean <= 0 {
		return k.Worth
	}
	size := float64(prompt+answerWeight*answer) / mean
	return k.Worth * min(fixedPart+(1-fixedPart)*size, mostTimes)
}

// closest returns the kind whose deadline and mean prompt are most like those seen on
// a route.
func closest(kinds []Kind, deadline int64, prompt float64) *Kind {
	var best *Kind
	least := math.Inf(1)
	for i := range kinds {
		kind := &kinds[i]
		difference := math.Abs(float64(kind.Deadline-deadline))/float64(max(kind.Deadline, 1)) +
			math.Abs(kind.Prompt-prompt)/max(kind.Prompt, prompt, 1)
		if difference < least {
			best, least = kind, difference
		}
	}
	return best
}
