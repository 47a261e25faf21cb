org.buckthornferry.load.LoadCommand
