package operator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"parsleyhatch/audit"
)

var auditCommand = command{
	name:    "audit",
	summary: "show the audit trail of a VM",
	run:     runAudit,
}

func runAudit(e env) int {
	fs := newFlagSet("audit")
	admin := adminFlag(fs)
	after := fs.Uint64("after", 0, "show entries with a sequence number above N")
	asJSON := fs.Bool("json", false, "print the JSON response")
	operands, code, done := parseArguments(fs, e, "")
	if done {
		return code
	}
	if len(operands) > 0 {
		return failf(e, "audit", exitUsage, "unexpected operand %q", operands[0])
	}
	address, err := adminURL(*admin, "/admin/audit", url.Values{"after": {strconv.FormatUint(*after, 10)}})
	if err != nil {
		return failf(e, "audit", exitUsage, "%v", err)
	}
	if err := showAudit(e, address, *after, *asJSON); err != nil {
		return failf(e, "audit", exitFailed, "%v", err)
	}
	return exitOK
}

func showAudit(e env, address string, after uint64, asJSON bool) error {
	data, err := fetchAdminPage(address)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	var entries []audit.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if len(entries) > 0 && entries[0].Sequence > after+1 {
		fmt.Fprintf(e.stdout, "entries %d to %d are no longer retained\n", after+1, entries[0].Sequence-1)
	}
	t := newTable(e.stdout, "SEQUENCE", "TIME", "KIND", "VERSION", "SUBJECT", "DETAIL")
	for _, entry := range entries {
		version := "-"
		if entry.Version.Number > 0 {
			version = entry.Version.String()
		}
		t.addRow(entry.Sequence, entry.Time.UTC().Format(time.RFC3339Nano), entry.Kind, version, entry.Subject, entry.Detail)
	}
	t.flush()
	return nil
}
