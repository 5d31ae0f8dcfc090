// Package openai decodes and encodes the parts of the OpenAI-compatible HTTP API
// that scheduling depends on. Unknown request fields pass through unchanged.
package openai

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Paths of the API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

// DoneEvent is the data of the last event of a complete stream.
const DoneEvent = "[DONE]"

// Request is a caller's request for a completion.
type Request struct {
	Model  string
	Stream bool
	// MaxTokens is 0 if the caller set no limit.
	MaxTokens int
	// Prompt is the prompt text, or the chat messages as one text; engines cache its prefix.
	Prompt string
	Chat   bool
	// IncludeUsage reports whether the caller requested token usage in the stream.
	IncludeUsage bool

	// fields are all fields of the body, including unknown ones.
	fields map[string]json.RawMessage
}

// requestFields are the fields that ParseRequest evaluates.
type requestFields struct {
	Model               *string         `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Choices             *int            `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Message is one message of a chat. Content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseRequest decodes and checks the body of a completion or chat request.
// Errors are of kind BadRequest and name the field.
func ParseRequest(body []byte, chat bool) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, errkind.New(errkind.BadRequest, "request body is not UTF-8")
	}
	var fields requestFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errkind.New(errkind.BadRequest, "request body does not parse: %v", err)
	}
	request := &Request{Stream: fields.Stream, Chat: chat, IncludeUsage: fields.StreamOptions.IncludeUsage}
	if err := json.Unmarshal(body, &request.fields); err != nil {
		return nil, errkind.New(errkind.BadRequest, "request body is not a JSON object: %v", err)
	}
	if fields.Model == nil || *fields.Model == "" {
		return nil, errkind.New(errkind.BadRequest, "model is missing")
	}
	request.Model = *fields.Model
	if fields.Choices != nil && *fields.Choices != 1 {
		return nil, errkind.New(errkind.BadRequest, "n is %d: only one choice is supported", *fields.Choices)
	}
	for _, limit := range []*int{fields.MaxTokens, fields.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return nil, errkind.New(errkind.BadRequest, "max_tokens is %d: it must be at least 1", *limit)
		}
		request.MaxTokens = *limit
	}
	return request, request.readPrompt(&fields)
}

func (r *Request) readPrompt(fields *requestFields) error {
	if !r.Chat {
		if err := json.Unmarshal(fields.Prompt, &r.Prompt); err != nil || r.Prompt == "" {
			return errkind.New(errkind.BadRequest, "prompt is missing, empty or not a string")
		}
		return nil
	}
	if len(fields.Messages) == 0 {
		return errkind.New(errkind.BadRequest, "messages is missing or empty")
	}
	var prompt strings.Builder
	for _, message := range fields.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		var text string
		if json.Unmarshal(message.Content, &text) == nil {
			prompt.WriteString(text)
		} else {
			prompt.Write(message.Content)
		}
		prompt.WriteByte('\n')
	}
	r.Prompt = prompt.String()
	return nil
}

// EngineBody returns the body for an engine: the caller's fields, with streaming
// and usage turned on and the model, the priority and the token limit replaced.
func (r *Request) EngineBody(model string, priority, maxTokens int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+4)
	for name, value := range r.fields {
		fields[name] = value
	}
	set := func(name string, value any) {
		encoded, err := json.Marshal(value)
		if err == nil {
			fields[name] = encoded
		}
	}
	set("model", model)
	set("stream", true)
	set("stream_options", streamOptions{IncludeUsage: true})
	set("priority", priority)
	set("max_tokens", maxTokens)
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of a chunk that carries text.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds to a chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails breaks down the prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ParseChunk decodes the data of an event. The error is of kind OutcomeUnknown,
// since the engine has started the request.
func ParseChunk(data []byte) (*Chunk, error) {
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "parse event of the engine: %v", err)
	}
	return chunk, nil
}

// HasText reports whether the chunk carries text of the answer.
func (c *Chunk) HasText() bool {
	for _, choice := range c.Choices {
		if choice.Text != "" || (choice.Delta != nil && choice.Delta.Content != "") {
			return true
		}
	}
	return false
}

// Completion is the response to a request that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// CompletionChoice is the answer in a completion.
type CompletionChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Text         string       `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

// ChatMessage is the answer to a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Assemble joins the events of a complete stream into a completion, or into a
// chat completion if the events carry deltas. The error is that of ParseChunk.
func Assemble(events [][]byte) (*Completion, error) {
	var text strings.Builder
	completion := &Completion{Object: "text_completion", Choices: []CompletionChoice{{}}}
	choice := &completion.Choices[0]
	chat := false
	for _, event := range events {
		chunk, err := ParseChunk(event)
		if err != nil {
			return nil, err
		}
		completion.ID, completion.Created, completion.Model = chunk.ID, chunk.Created, chunk.Model
		if chunk.Usage != nil {
			completion.Usage = chunk.Usage
		}
		for _, part := range chunk.Choices {
			text.WriteString(part.Text)
			if part.Delta != nil {
				chat = true
				text.WriteString(part.Delta.Content)
			}
			if part.FinishReason != nil {
				choice.FinishReason = *part.FinishReason
			}
		}
	}
	choice.Text = text.String()
	if chat {
		completion.Object = "chat.completion"
		choice.Message = &ChatMessage{Role: "assistant", Content: choice.Text}
		choice.Text = ""
	}
	return completion, nil
}

// Model is an entry of the model list; each route to a model has one.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Message includes the remedy, Outcome is what
// the error proves about the request.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
	Receipt   string `json:"receipt,omitempty"`
}
