package operator

import "net/url"

var explainCommand = command{
	name:    "explain",
	summary: "show the decisions that a VM made about a request",
	run:     runExplain,
}

func runExplain(e env) int {
	fs := newFlagSet("explain")
	admin := adminFlag(fs)
	asJSON := fs.Bool("json", false, "print the JSON response")
	operands, code, done := parseArguments(fs, e, "REQUEST_ID")
	if done {
		return code
	}
	if len(operands) != 1 {
		return failf(e, "explain", exitUsage, "exactly one request id is required; usage: parsleyhatch explain -admin URL REQUEST_ID")
	}
	address, err := adminURL(*admin, "/admin/explain", url.Values{"id": operands})
	if err != nil {
		return failf(e, "explain", exitUsage, "%v", err)
	}
	if err := showExplanation(e, address, *asJSON); err != nil {
		return failf(e, "explain", exitFailed, "%v", err)
	}
	return exitOK
}

func showExplanation(e env, address string, asJSON bool) error {
	data, err := fetchAdminPage(address)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	list, err := decodeObject(data)
	if err != nil {
		return err
	}
	for _, f := range list {
		printMember(e.stdout, "", f)
	}
	return nil
}
