package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/process"
)

// programFolder is the folder that contains the built program.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(process.BuildAndRun("../cmd/waxwingreel", func(binary string) int {
		programFolder = filepath.Dir(binary)
		return withFleet(m, binary)
	}))
}

// withFleet runs the tests while the sample fleet is running.
func withFleet(m *testing.M, binary string) int {
	example := func(name string) string { return filepath.Join("..", "examples", "fleet", name) }
	fleet := exec.Command(binary, "fleet", "--keep", "-s", example("n1.jsonc"), "-s", example("n2.jsonc"), "-s", example("n3.jsonc"), "--ticket", example("ticket.jsonc"))
	fleet.Stderr = os.Stderr
	out, err := fleet.StdoutPipe()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := fleet.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		_ = fleet.Process.Signal(syscall.SIGINT)
		_ = fleet.Wait()
	}()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "running until interrupted") {
			return m.Run()
		}
	}
	fmt.Fprintln(os.Stderr, "the sample fleet did not start")
	return 1
}

var block = regexp.MustCompile("(?s)```sh run\n(.*?)```\n```expect\n(.*?)```")

// TestPages runs the commands in the documentation and checks that their output contains
// the documented lines.
func TestPages(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range []string{"API.md", "OPERATIONS.md"} {
		text, err := os.ReadFile(filepath.Join("..", "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		blocks := block.FindAllSubmatch(text, -1)
		if len(blocks) < 6 {
			t.Fatalf("%s: found %d blocks, want at least 6", page, len(blocks))
		}
		folder := t.TempDir()
		if err := os.Symlink(examples, filepath.Join(folder, "examples")); err != nil {
			t.Fatal(err)
		}
		for i, b := range blocks {
			t.Run(fmt.Sprintf("%s/%d", page, i+1), func(t *testing.T) {
				runBlock(t, folder, string(b[1]), string(b[2]))
			})
		}
	}
}

func runBlock(t *testing.T, folder, script, expect string) {
	command := exec.Command("bash", "-c", script)
	command.Dir = folder
	command.Env = append(os.Environ(),
		"PATH="+programFolder+":"+os.Getenv("PATH"),
		"WAXWINGREEL_NODE=127.0.0.1:9101",
		"WAXWINGREEL_OPERATOR_KEY=demo-operator-key",
		"WAXWINGREEL_ENTRY=127.0.0.1:8101",
		"WAXWINGREEL_KEY=demo-paying-key",
	)
	out, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s\nfailed with %v:\n%s", script, err, out)
	}
	for _, want := range strings.Split(strings.TrimRight(expect, "\n"), "\n") {
		if !bytes.Contains(out, []byte(want)) {
			t.Errorf("%s\ngot:\n%s\nwant a line with %q", script, out, want)
		}
	}
}

// settledNow returns the settled tokens of the paying budget.
func settledNow(t *testing.T) int64 {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://127.0.0.1:9101/v1/budgets/lapland-2026", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer demo-operator-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	view := struct {
		Settled int64 `json:"settled"`
	}{}
	if err := json.NewDecoder(response.Body).Decode(&view); err != nil {
		t.Fatal(err)
	}
	return view.Settled
}

// expectRefusal sends a request and checks the status and the type of its refusal.
func expectRefusal(t *testing.T, name, path string, header map[string]string, body string, status int, kind string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:8101"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer demo-paying-key")
	for key, value := range header {
		request.Header.Set(key, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := struct {
		Error struct {
			Type    string `json:"type"`
			NotRun  bool   `json:"notRun"`
			Outcome string `json:"outcome"`
			Message string `json:"message"`
		} `json:"error"`
	}{}
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatalf("%s: got %s, want a typed error", name, text)
	}
	if response.StatusCode != status || got.Error.Type != kind {
		t.Errorf("%s: got %d %s, want %d %s", name, response.StatusCode, text, status, kind)
	}
	if got.Error.Message == "" || got.Error.NotRun == (got.Error.Outcome == "unknown") {
		t.Errorf("%s: got %s, want a message, and either notRun or an unknown outcome", name, text)
	}
}

// TestBadInput checks that invalid requests are refused with the right type, that none is
// billed, and that the node keeps running.
func TestBadInput(t *testing.T) {
	before := settledNow(t)
	const chat = "/v1/chat/completions"
	const change = "/v1/services/registry/stations/inari/changes"
	message := `"messages":[{"role":"user","content":"x"}]`
	expectRefusal(t, "malformed JSON", chat, nil, `{"model":`, 400, "badRequest")
	expectRefusal(t, "JSON of another type", chat, nil, `{"model": 5}`, 400, "badRequest")
	expectRefusal(t, "empty body", chat, nil, ``, 400, "badRequest")
	expectRefusal(t, "no messages", chat, nil, `{"model":"frost-7b"}`, 400, "badRequest")
	expectRefusal(t, "unknown model", chat, nil, `{"model":"x",`+message+`}`, 404, "notFound")
	expectRefusal(t, "unknown adapter", chat, nil, `{"model":"frost-7b:x",`+message+`}`, 404, "notFound")
	expectRefusal(t, "negative tokens", chat, nil, `{"model":"frost-7b","max_tokens":-1,`+message+`}`, 400, "badRequest")
	expectRefusal(t, "too many tokens", chat, nil, `{"model":"frost-7b","max_tokens":99999,`+message+`}`, 400, "badRequest")
	expectRefusal(t, "unknown class", chat, map[string]string{"X-Class": "urgent"}, `{"model":"frost-7b",`+message+`}`, 400, "badRequest")
	expectRefusal(t, "wrong key", chat, map[string]string{"Authorization": "Bearer nobody"}, `{}`, 401, "unauthorized")
	expectRefusal(t, "no key", chat, map[string]string{"Authorization": ""}, `{}`, 401, "unauthorized")
	expectRefusal(t, "request id of another version", chat, map[string]string{"Idempotency-Key": "4b41a32c-9ab9-4c4e-8c0e-2d3b1c6f7a55"}, `{}`, 400, "badRequest")
	expectRefusal(t, "request id that is no UUID", chat, map[string]string{"Idempotency-Key": "1"}, `{}`, 400, "badRequest")
	expectRefusal(t, "old request id", chat, map[string]string{"Idempotency-Key": "01800000-0000-7000-8000-000000000000"}, `{}`, 409, "requestIdTooOld")
	expectRefusal(t, "request id of the future", chat, map[string]string{"Idempotency-Key": "0fffffff-0000-7000-8000-000000000000"}, `{}`, 400, "badRequest")
	expectRefusal(t, "at-most-once call without an id", change, nil, `{}`, 400, "badRequest")
	expectRefusal(t, "unknown service", "/v1/services/none/x", nil, `{}`, 404, "notFound")
	expectRefusal(t, "unknown call", "/v1/services/registry/x", nil, `{}`, 404, "notFound")
	expectRefusal(t, "path out of the service", "/v1/services/registry/../../standin/leave", nil, `{}`, 404, "notFound")
	expectRefusal(t, "body over the limit", chat, nil, strings.Repeat("x", 5<<20), 413, "tooLarge")
	if got, want := settledNow(t), before; got != want {
		t.Errorf("bad input was billed: settled %d, want %d", got, want)
	}
}

// TestSlowHeaders checks that the node closes a connection whose request headers are
// never completed.
func TestSlowHeaders(t *testing.T) {
	conn, err := net.Dial("tcp", "127.0.0.1:8101")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the node kept the connection open for 30 s: %v", err)
	}
}

// TestExitCodes checks the exit codes that scripts rely on.
func TestExitCodes(t *testing.T) {
	expect := func(want int, text string, args ...string) {
		t.Helper()
		out, errs := &bytes.Buffer{}, &bytes.Buffer{}
		if got := Main(args, out, errs); got != want {
			t.Errorf("%v: got exit code %d, want %d; %s%s", args, got, want, out, errs)
		}
		if all := out.String() + errs.String(); !strings.Contains(all, text) {
			t.Errorf("%v: got %q, want it to contain %q", args, all, text)
		}
	}
	key := "--key=demo-operator-key"
	expect(ExitOK, "waxwingreel "+Version, "--version")
	expect(ExitOK, "ticket", "--help")
	expect(ExitOK, "settings are sound", "check", "-s", "../examples/fleet/n1.jsonc")
	expect(ExitUsage, "hint", "check", "-s", "no-such-file.jsonc")
	expect(ExitUsage, "unknown flag", "status", "--colour")
	expect(ExitUsage, "no-such-ticket", "ticket", "apply", key, "-n", "90", "-f", "no-such-ticket.jsonc")
	expect(ExitFailed, "no operator's key", "status", "--key=wrong")
	expect(ExitFailed, "no such budget", "budget", "show", key, "nothing")
	expect(ExitFailed, "call node", "status", key, "--node=127.0.0.1:1")
}
