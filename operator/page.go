package operator

import (
	"bytes"
	"fmt"
	"html/template"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/burn"
)

// barMaxWidth is the width in pixels of a bar for a burn of barMaxRate or more.
const (
	barMaxWidth = 200
	barMaxRate  = 10
)

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bar":   barWidth,
	"rate":  func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"level": burnLevel,
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px/1.5 system-ui,sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}th,td{padding:.3em .8em;text-align:left;border-bottom:1px solid #ddd}
td.n{text-align:right;font-variant-numeric:tabular-nums}
rect.ok{fill:#4a8}rect.warn{fill:#d90}rect.bad{fill:#c33}
.missing{background:#fff3d6;padding:.5em 1em;border-left:4px solid #d90}
</style></head><body>
<h1>Service-level burn</h1>
{{if .Missing}}<p class="missing">These nodes did not respond, so their requests are not counted: {{range .Missing}}{{.}} {{end}}</p>{{end}}
<p>A burn of 1 uses up the error budget exactly within its period; a higher burn uses it up faster. Nodes queried: {{len .Asked}}.</p>
{{if not .Lines}}<p>No requests in the last hour.</p>{{else}}
<table><tr><th>Workspace</th><th>Class</th><th>Tier</th><th>Objective</th><th>Requests, 1 h</th><th>Bad</th><th>Burn, 5 min</th><th>Burn, 1 h</th><th></th><th>Left</th><th>Causes, 1 h</th></tr>
{{range .Lines}}<tr><td>{{.Series.Workspace}}</td><td>{{.Series.Class}}</td><td>{{.Series.Tier}}</td><td class="n">{{.ObjectivePerMille}}‰</td><td class="n">{{.Long.Total}}</td><td class="n">{{.Long.Bad}}</td><td class="n">{{rate .ShortBurn}}</td><td class="n">{{rate .LongBurn}}</td>
<td><svg width="200" height="24" role="img" aria-label="burn"><rect class="{{level .ShortBurn}}" y="2" height="8" width="{{bar .ShortBurn}}"/><rect class="{{level .LongBurn}}" y="13" height="8" width="{{bar .LongBurn}}"/></svg></td>
<td class="n">{{.LeftPerMille}}‰</td><td>{{range .Causes}}{{.Cause}} {{.Count}} {{end}}</td></tr>
{{end}}</table><p>Upper bar: last 5 minutes. Lower bar: last hour. A full bar is a burn of 10 or more.</p>{{end}}
</body></html>
`))

func barWidth(rate float64) int {
	width := int(rate / barMaxRate * barMaxWidth)
	if rate > 0 {
		width = max(width, 2)
	}
	return min(width, barMaxWidth)
}

func burnLevel(rate float64) string {
	switch {
	case rate > 2:
		return "bad"
	case rate > 1:
		return "warn"
	}
	return "ok"
}

func burnHTML(report burn.Report) ([]byte, error) {
	var b bytes.Buffer
	if err := burnTemplate.Execute(&b, report); err != nil {
		return nil, eris.Wrap(err, "operator: render the burn page")
	}
	return b.Bytes(), nil
}
