package settings_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/settings"
)

const entryText = `
Name = "edge-1"
FailureDomain = "a"
Contracts = ["base", "pressure"]
[Listen]
Caller = "10.0.0.1:80"
Ready = "10.0.0.1:81"
Peer = "10.0.0.1:82"
[Regions]
"a" = "r1"
"b" = "r2"
[Store]
Address = "10.0.0.9:80"
[Limits]
MemoryMB = 284
Descriptors = 5125
ProcessorShare = 0.4
[Bounds]
Revocation = "5000ms"
RetrySlack = 58
QuotaOverage = 0.1
QuotaSlack = 190000
`

// Guards against settings of an entry node that are decoded wrongly, and against
// problems that aren't reported. Each case puts one problem into the file.
func TestParseEntry(t *testing.T) {
	s, problems := settings.ParseEntry("entry.toml", []byte(entryText))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if s.Regions["b"] != "r2" || s.Bounds.Revocation != 5*time.Second || s.Bounds.Grace != 8*time.Second || s.Listen.Metrics.IsValid() ||
		s.Bounds.QuotaWindow != 8*time.Second || s.Bounds.QuotaOverage != 0.1 || s.Bounds.QuotaSlack != 190_000 ||
		s.Limits.Descriptors != 5125 || !slices.Equal(s.Contracts, []string{"base", "pressure"}) {
		t.Errorf("settings %+v", s)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"misspelt":                 {"RetrySlack", "RetrySlak", `RetrySlack`},
		"unknown failure domain":   {`FailureDomain = "a"`, `FailureDomain = "x"`, `region of failure domain`},
		"store address missing":    {"[Store]\nAddress = \"10.0.0.9:80\"", "", `store's address`},
		"listener address missing": {`Peer = "10.0.0.1:82"`, "", `address to listen on`},
		"value out of range":       {`"5000ms"`, `"1h"`, `1s to 1m0s`},
		"negative overage":         {"QuotaOverage = 0.1", "QuotaOverage = -0.1", `0 to 10`},
		"value not a duration":     {`"5000ms"`, `"soon"`, `Revocation`},
		"too few descriptors":      {"Descriptors = 5125", "Descriptors = 399", `400 to`},
		"zero value in the file":   {"MemoryMB = 284", "MemoryMB = 0", `32 to`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(entryText, c.old, c.new, 1)
			if text == entryText {
				t.Fatalf("the settings file has no %q to replace", c.old)
			}
			_, problems := settings.ParseEntry("entry.toml", []byte(text))
			if len(problems) == 0 || !strings.Contains(fmt.Sprint(problems[0]), c.want) {
				t.Errorf("problems %v, want one with %q", problems, c.want)
			}
		})
	}
}
