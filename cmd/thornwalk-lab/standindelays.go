package main

import "time"

// Delays of the stand-ins: calls of a plain service, changes of the machine list, load reports.
const (
	plainServiceCallTime = 20 * time.Millisecond
	machineListLag       = time.Second
	loadReportLag        = 100 * time.Millisecond
)
