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

// Sizes of a key's random parts, in bytes. The id only has to be unique; the secret has 256 bits.
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
	fs := newFlags("key")
	workspace := fs.String("workspace", "", "NAME of the workspace that the key belongs to")
	operands, code, done := parseArguments(fs, e, "new")
	switch {
	case done:
		return code
	case len(operands) != 1 || operands[0] != "new":
		return fail(e, "key", exitUsage, "usage: parsleyhatch key new -workspace NAME")
	case *workspace == "":
		return fail(e, "key", exitUsage, "-workspace is not set")
	}
	bearer, entry, err := newKey(rand.Reader, *workspace)
	if err != nil {
		return fail(e, "key", exitFailed, "%v", err)
	}
	printKey(e, bearer, entry)
	return exitOK
}

// newKey returns a bearer key and its configuration entry, which holds the hash of the secret only.
func newKey(random io.Reader, workspace string) (string, config.Key, error) {
	id, secret := make([]byte, keyIDBytes), make([]byte, keySecretBytes)
	if _, err := io.ReadFull(random, id); err != nil {
		return "", config.Key{}, fmt.Errorf("read random bytes: %w", err)
	}
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", config.Key{}, fmt.Errorf("read random bytes: %w", err)
	}
	text := hex.EncodeToString(secret)
	sum := sha256.Sum256([]byte(text))
	entry := config.Key{ID: hex.EncodeToString(id), SHA256: hex.EncodeToString(sum[:]), Workspace: workspace}
	return "ph_" + entry.ID + "_" + text, entry, nil
}

func printKey(e env, bearer string, entry config.Key) {
	data, _ := json.Marshal(entry)
	fmt.Fprintf(e.stdout, "key:   %s\n", bearer)
	fmt.Fprintf(e.stdout, "entry: %s\n", data)
	fmt.Fprintln(e.stderr, "The key is shown only now. Give it to the caller and add the entry to \"keys\".")
}
