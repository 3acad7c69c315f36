// Command amaranthdock is not built yet.
package main

func main() {}
