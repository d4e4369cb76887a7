package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Bounds of the hash-derived length of an answer, in tokens.
const (
	minAnswerTokens = 32
	maxAnswerTokens = 1024
)

// Message is one chat message of a request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the message contents joined by newlines.
func Prompt(messages []Message) string {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// PromptTokens returns the tokens of the messages: a quarter of the content bytes, rounded up.
func PromptTokens(messages []Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Content)
	}
	return (bytes + 3) / 4
}

// AnswerTokens returns the length of the answer, in tokens. A maxTokens of 0 or less is no limit.
func AnswerTokens(model, prompt string, maxTokens int) int {
	seed := answerSeed(model, prompt)
	span := uint64(maxAnswerTokens - minAnswerTokens + 1)
	n := minAnswerTokens + int(binary.BigEndian.Uint64(seed[:8])%span)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Answer returns the first n tokens of the answer. It is a pure function, so that every engine can
// resume every answer at any offset.
func Answer(model, prompt string, n int) []string {
	seed := answerSeed(model, prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = answerToken(seed, i)
	}
	return tokens
}

// answerSeed hashes the length of the model too, so that no other split of the same bytes collides.
func answerSeed(model, prompt string) [sha256.Size]byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(model)))
	data = append(data, model...)
	data = append(data, prompt...)
	return sha256.Sum256(data)
}

func answerToken(seed [sha256.Size]byte, i int) string {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(seed[:], uint64(i)))
	return hex.EncodeToString(sum[:3]) + " "
}
