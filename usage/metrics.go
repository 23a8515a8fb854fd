package usage

import "github.com/VictoriaMetrics/metrics"

var (
	began           = metrics.NewCounter("bergamot_usage_requests_total")
	tooLate         = metrics.NewCounter("bergamot_usage_requests_counted_too_late_total")
	takenOver       = metrics.NewCounter("bergamot_usage_sources_taken_over_total")
	collected       = metrics.NewCounter(`bergamot_usage_collections_total{result="ok"}`)
	notCollected    = metrics.NewCounter(`bergamot_usage_collections_total{result="failed"}`)
	reportsAccepted = metrics.NewCounter(`bergamot_usage_reports_total{result="accepted"}`)
	reportsLimited  = metrics.NewCounter(`bergamot_usage_reports_total{result="rate_limited"}`)
	reportsFailed   = metrics.NewCounter(`bergamot_usage_reports_total{result="failed"}`)
	recordsWritten  = metrics.NewCounter(`bergamot_usage_records_total{result="written"}`)
	recordsFailed   = metrics.NewCounter(`bergamot_usage_records_total{result="failed"}`)
	windowsSkipped  = metrics.NewCounter("bergamot_usage_windows_not_reported_total")
	incomplete      = metrics.NewCounter("bergamot_usage_windows_incomplete_total")
)
