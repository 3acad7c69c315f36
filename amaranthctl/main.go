// Command amaranthctl is not built yet.
package main

func main() {}
