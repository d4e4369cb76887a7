package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"parsleyhatch/config"
)

// prefixBytes is the number of bytes at the start of a prompt that count as its shared prefix when
// there is no system message.
const prefixBytes = 1024

// Chat is the part of a chat completion request that the gateway reads.
type Chat struct {
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	// MaxTokens is zero if the caller sets no limit.
	MaxTokens int64 `json:"max_tokens"`
	Stream    bool  `json:"stream"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseChat decodes and checks a chat completion request.
func ParseChat(body []byte) (*Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("decode chat completion: %w", err)
	}
	switch {
	case c.Model == "":
		return nil, errors.New("field model is empty")
	case len(c.Messages) == 0:
		return nil, errors.New("field messages is empty")
	case c.MaxTokens < 0:
		return nil, errors.New("field max_tokens is negative")
	}
	return &c, nil
}

// PrefixKey returns the key of the prompt's shared prefix. It is salted with the workspace, so that
// two workspaces never share an entry of an engine's prefix cache.
func (c *Chat) PrefixKey(workspace string) string {
	text := c.Messages[0].Content
	if c.Messages[0].Role != "system" && len(text) > prefixBytes {
		text = text[:prefixBytes]
	}
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write([]byte(c.Model))
	h.Write([]byte{0})
	h.Write([]byte(text))
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// MaxPromptTokens returns an upper bound of the prompt's tokens on a route.
func (c *Chat) MaxPromptTokens(r *config.Route) int64 {
	total := 0
	for _, m := range c.Messages {
		total += len(m.Content)
	}
	perToken := max(r.MinBytesPerToken, 1)
	return int64(float64(total)/perToken) + 1
}

// MaxAnswerTokens returns the largest number of answer tokens on a route.
func (c *Chat) MaxAnswerTokens(r *config.Route) int64 {
	if c.MaxTokens == 0 || c.MaxTokens > r.MaxTokens {
		return r.MaxTokens
	}
	return c.MaxTokens
}
