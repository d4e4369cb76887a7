package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"parsleyhatch/config"
)

// Sizes of the random parts of a key, in bytes. The id only needs to be unique; the secret has 256 bits.
const (
	keyIDBytes     = 8
	keySecretBytes = 32
)

var keyCommand = command{
	name:    "key",
	summary: "create a caller's key: key new -workspace NAME",
	run:     runKey,
}

func runKey(e env) int {
	fs := newFlagSet("key")
	workspace := fs.String("workspace", "", "NAME of the workspace that the key belongs to")
	operands, code, done := parseArguments(fs, e, "new")
	switch {
	case done:
		return code
	case len(operands) != 1 || operands[0] != "new":
		return failf(e, "key", exitUsage, "usage: parsleyhatch key new -workspace NAME")
	case *workspace == "":
		return failf(e, "key", exitUsage, "-workspace is not set")
	}
	bearerKey, entry, err := newKey(rand.Reader, *workspace)
	if err != nil {
		return failf(e, "key", exitFailed, "%v", err)
	}
	printKey(e, bearerKey, entry)
	return exitOK
}

// newKey returns a bearer key and its configuration entry. The entry holds only the hash of the secret.
func newKey(random io.Reader, workspace string) (string, config.Key, error) {
	id, secret := make([]byte, keyIDBytes), make([]byte, keySecretBytes)
	if _, err := io.ReadFull(random, id); err != nil {
		return "", config.Key{}, fmt.Errorf("read random bytes: %w", err)
	}
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", config.Key{}, fmt.Errorf("read random bytes: %w", err)
	}
	secretText := hex.EncodeToString(secret)
	sum := sha256.Sum256([]byte(secretText))
	entry := config.Key{ID: hex.EncodeToString(id), SHA256: hex.EncodeToString(sum[:]), Workspace: workspace}
	return "ph_" + entry.ID + "_" + secretText, entry, nil
}

func printKey(e env, bearerKey string, entry config.Key) {
	data, _ := json.Marshal(entry)
	fmt.Fprintf(e.stdout, "key:   %s\n", bearerKey)
	fmt.Fprintf(e.stdout, "entry: %s\n", data)
	fmt.Fprintln(e.stderr, "The key cannot be shown again. Give it to the caller and add the entry to \"keys\".")
}
